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

// The value that decides which configuration is in force.
struct ConfigHead
{
    std::uint64_t version = 0; // zero: none yet
    std::uint64_t base = 0; // the version that the submitter saw
    std::string manifestSha256;
    std::string submissionId;
    std::vector<std::string> recentSubmissionIds; // newest last, this submission included
    WallTime accepted{};
    std::optional<ConfigDelta> delta; // from the configuration before it, when that is small
};

// How a head compares with the newest one seen.
enum class HeadOrder { Newer, Same, Older };

// Keeps the newest head seen and lets none replace it but a newer one, also when the platform comes
// back from an outage with an older state.
class HeadGuard
{
public:
    // Takes the head if it is newer, and says how it compares.
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
