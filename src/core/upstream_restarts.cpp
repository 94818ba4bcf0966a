// SPDX-License-Identifier: MIT
#include "fordwood/upstream_restarts.hpp"

namespace fordwood {

namespace {

// The connections to an upstream that ends break within milliseconds; no engine restarts within
// this time.
constexpr Duration kSameFailureWithin = std::chrono::seconds(1);

} // namespace

std::string UpstreamRestarts::onDisconnect(const std::string &upstream)
{
    const auto [it, isNew] = m_entries.try_emplace(upstream);
    Entry &entry = it->second;
    if (isNew || m_clock.now() - entry.lastBreak >= kSameFailureWithin)
        entry.instances += 1;
    entry.lastBreak = m_clock.now();
    return upstream + "#" + std::to_string(entry.instances);
}

} // namespace fordwood
