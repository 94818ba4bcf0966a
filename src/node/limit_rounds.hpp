// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_LIMIT_ROUNDS_HPP_INCLUDED
#define FORDWOOD_NODE_LIMIT_ROUNDS_HPP_INCLUDED

#include <cstddef>
#include <vector>

#include "fordwood/upstream_limits.hpp"

namespace fordwood::node {

// Which limits go into one message to peers: all, or where many upstreams name one, some of them in
// turn, so that a message stays within a datagram.
class LimitRounds
{
public:
    // With up to 64 senders each: some 50 KB, and as a rule a tenth of that.
    static constexpr std::size_t kMostInMessage = 64;

    std::vector<LimitWord> next(const std::vector<LimitWord> &words)
    {
        if (words.size() <= kMostInMessage)
            return words;
        std::vector<LimitWord> told;
        for (std::size_t n = 0; n < kMostInMessage; ++n)
            told.push_back(words[(m_next + n) % words.size()]);
        m_next = (m_next + kMostInMessage) % words.size();
        return told;
    }

private:
    std::size_t m_next = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_LIMIT_ROUNDS_HPP_INCLUDED
