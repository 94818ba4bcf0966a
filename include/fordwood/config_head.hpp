// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONFIG_HEAD_HPP_INCLUDED
#define FORDWOOD_CONFIG_HEAD_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/config_delta.hpp"

namespace fordwood {

// The stored value that determines which configuration is in effect.
struct ConfigHead
{
    std::uint64_t version = 0; // zero: none yet
    std::uint64_t base = 0; // the version that it replaced
    std::string manifestSha256;
    std::string submissionId;
    std::vector<std::string> recentSubmissionIds; // newest last, this submission included
    WallTime accepted{};
    std::optional<ConfigDelta> delta; // from the previous configuration, if it is small
};

// How a head compares with the newest known one.
enum class HeadOrder { Newer, Same, Older };

// Keeps the newest known head. Rejects older heads, which the platform can return after an outage
// if it was restored from an older state.
class HeadGuard
{
public:
    // Stores the head if it is newer. Returns how it compares.
    HeadOrder offer(const ConfigHead &head)
    {
        if (head.version < m_head.version)
            return HeadOrder::Older;
        if (head.version == m_head.version)
            return HeadOrder::Same;
        m_head = head;
        return HeadOrder::Newer;
    }

    const ConfigHead &head() const { return m_head; }

private:
    ConfigHead m_head;
};

} // namespace fordwood

#endif // FORDWOOD_CONFIG_HEAD_HPP_INCLUDED
