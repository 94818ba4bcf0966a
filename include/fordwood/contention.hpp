// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONTENTION_HPP_INCLUDED
#define FORDWOOD_CONTENTION_HPP_INCLUDED

#include <deque>
#include <map>
#include <string>

#include "fordwood/clock.hpp"

namespace fordwood {

// Detects from the results of recent sends whether the upstreams of a kind lack free slots. While
// they do not, requests are sent without asking an owner for a permit first; a full upstream
// refuses such a request without running it. All upstreams of a model share one value: in a large
// fleet, one entry node sends far too few requests to one upstream to judge it alone. Not
// thread-safe.
class Contention
{
public:
    struct Limits
    {
        Duration window = std::chrono::seconds(2);
        double share = 0.05; // share of refused sends that means contention
        Duration quietTime
            = std::chrono::seconds(5); // time without a refusal after which contention ends
    };

    Contention(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    // An upstream of the kind accepted a send.
    void countAccepted(const std::string &kind) { count(kind, false); }

    // An upstream of the kind, or its owner, had no free slot.
    void countRefused(const std::string &kind) { count(kind, true); }

    bool isContended(const std::string &kind)
    {
        Meter &meter = m_meters[kind];
        return meter.contended && m_clock.now() - meter.lastRefusal < m_limits.quietTime;
    }

private:
    struct Meter
    {
        std::deque<std::pair<TimePoint, bool>> recent; // refused or not
        std::size_t refusals = 0;
        TimePoint lastRefusal{};
        bool contended = false;
    };

    void count(const std::string &kind, bool refused)
    {
        Meter &meter = m_meters[kind];
        const TimePoint now = m_clock.now();
        if (refused)
            meter.lastRefusal = now;
        else if (now - meter.lastRefusal >= m_limits.quietTime)
            meter.contended = false;
        meter.recent.emplace_back(now, refused);
        meter.refusals += refused ? 1 : 0;
        while (now - meter.recent.front().first > m_limits.window) {
            meter.refusals -= meter.recent.front().second ? 1 : 0;
            meter.recent.pop_front();
        }
        const auto sends = static_cast<double>(meter.recent.size());
        if (refused && static_cast<double>(meter.refusals) >= m_limits.share * sends)
            meter.contended = true;
    }

    const Clock &m_clock;
    Limits m_limits;
    std::map<std::string, Meter> m_meters;
};

} // namespace fordwood

#endif // FORDWOOD_CONTENTION_HPP_INCLUDED
