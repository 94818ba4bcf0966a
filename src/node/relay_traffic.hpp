// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_RELAY_TRAFFIC_HPP_INCLUDED
#define FORDWOOD_NODE_RELAY_TRAFFIC_HPP_INCLUDED

#include <cstddef>

#include "adapters/observe/metrics.hpp"
#include "fordwood/clock.hpp"

namespace fordwood::node {

// Counts what a relay sends to other nodes and logs a summary once a second.
class RelayTraffic
{
public:
    RelayTraffic(const Clock &clock, adapters::Metrics &metrics, double linkBytesPerSecond)
        : m_clock(clock), m_metrics(metrics), m_linkBytesPerSecond(linkBytesPerSecond),
          m_since(clock.now())
    { }

    // Short messages and sums for other failure domains were sent.
    void addMessages(std::size_t bytes)
    {
        m_messageRounds += 1;
        m_messageBytes += bytes;
    }

    // A sum of `datagramBytes` with the loads of `rows` upstreams was sent to `receivers` nodes.
    void addSums(std::size_t receivers, std::size_t datagramBytes, std::size_t rows);

    // Call often. Logs what was sent, if anything.
    void tick();

private:
    const Clock &m_clock;
    adapters::Metrics &m_metrics;
    const double m_linkBytesPerSecond;
    TimePoint m_since;
    std::size_t m_messageRounds = 0;
    std::size_t m_messageBytes = 0;
    std::size_t m_sums = 0;
    std::size_t m_sumBytes = 0;
    std::size_t m_datagramBytes = 0; // of the last sum
    std::size_t m_rows = 0; // of the last sum
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_RELAY_TRAFFIC_HPP_INCLUDED
