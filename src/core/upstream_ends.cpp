// SPDX-License-Identifier: MIT
#include "fordwood/upstream_ends.hpp"

namespace fordwood {

namespace {

// Calls at an upstream that ends break off within milliseconds; no engine starts as fast as this.
constexpr Duration kOneEnd = std::chrono::seconds(1);

} // namespace

std::string UpstreamEnds::brokeOff(const std::string &upstream)
{
    const auto [it, isNew] = m_entries.try_emplace(upstream);
    Entry &entry = it->second;
    if (isNew || m_clock.now() - entry.lastBreak >= kOneEnd)
        entry.lives += 1;
    entry.lastBreak = m_clock.now();
    return upstream + "#" + std::to_string(entry.lives);
}

} // namespace fordwood
