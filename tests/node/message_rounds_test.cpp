// SPDX-License-Identifier: MIT
// The load pattern: a whole fleet of upstreams is overloaded at the same time.
#include "node/message_rounds.hpp"

#include <doctest/doctest.h>

#include <set>

#include "node/peer_messages.hpp"

using namespace fordwood;
using namespace fordwood::node;

namespace {

std::vector<LimitGossip> wordsOf(std::size_t upstreams, std::size_t senders)
{
    std::vector<LimitGossip> words(upstreams);
    for (std::size_t n = 0; n < upstreams; ++n) {
        words[n].upstream = UINT64_MAX - n;
        words[n].version = 1;
        words[n].perSecond = 3.2;
        words[n].senders.resize(senders, {UINT64_MAX, UINT64_MAX});
    }
    return words;
}

} // namespace

TEST_CASE(
    "message rounds: few limits go into each message, many in turn, and none is left out [limit]")
{
    MessageRounds<LimitGossip> rounds;
    CHECK(rounds.next(wordsOf(3, 1)).size() == 3);
    const auto many = wordsOf(300, 1);
    std::set<std::uint64_t> told;
    for (int n = 0; n < 5; ++n) {
        for (const LimitGossip &it : rounds.next(many))
            told.insert(it.upstream);
    }
    CHECK(told.size() == many.size());
}

TEST_CASE("message rounds: the largest message fits into a datagram [limit]")
{
    constexpr std::size_t kLargestDatagram = 65'507;
    MessageRounds<LimitGossip> rounds;
    Gossip message;
    message.limits = rounds.next(wordsOf(1'000, 9)); // as many senders as a limit of 3.2 has
    CHECK(encodeGossip(message).size() < kLargestDatagram / 4);
}
