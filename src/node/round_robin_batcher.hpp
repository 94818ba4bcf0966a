// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_ROUND_ROBIN_BATCHER_HPP_INCLUDED
#define FORDWOOD_NODE_ROUND_ROBIN_BATCHER_HPP_INCLUDED

#include <cstddef>
#include <vector>

namespace fordwood::node {

// Which reports go into one message to peers: all, or where there are many, some of them in turn,
// so that a message stays within a datagram.
template <typename Report>
class RoundRobinBatcher
{
public:
    // Of limits with up to 64 senders each: some 50 KB, and as a rule a tenth of that.
    static constexpr std::size_t kMaxPerMessage = 64;

    std::vector<Report> next(const std::vector<Report> &reports)
    {
        if (reports.size() <= kMaxPerMessage)
            return reports;
        std::vector<Report> batch;
        for (std::size_t n = 0; n < kMaxPerMessage; ++n)
            batch.push_back(reports[(m_next + n) % reports.size()]);
        m_next = (m_next + kMaxPerMessage) % reports.size();
        return batch;
    }

private:
    std::size_t m_next = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_MESSAGE_ROUNDS_HPP_INCLUDED
