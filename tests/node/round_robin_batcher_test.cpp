// SPDX-License-Identifier: MIT
// Limits of many upstreams at once, as when a whole fleet of upstreams is overloaded.
#include "node/round_robin_batcher.hpp"

#include <doctest/doctest.h>

#include <set>

#include "node/peer_messages.hpp"

using namespace fordwood;
using namespace fordwood::node;

namespace {

std::vector<LimitGossip> makeLimits(std::size_t upstreams, std::size_t senders)
{
    std::vector<LimitGossip> limits(upstreams);
    for (std::size_t n = 0; n < upstreams; ++n) {
        limits[n].upstream = UINT64_MAX - n;
        limits[n].version = 1;
        limits[n].perSecond = 3.2;
        limits[n].senders.resize(senders, {UINT64_MAX, UINT64_MAX});
    }
    return limits;
}

} // namespace

TEST_CASE("round robin batcher: few limits all go into each message, many in batches that omit "
          "none [limit]")
{
    RoundRobinBatcher<LimitGossip> batcher;
    CHECK(batcher.next(makeLimits(3, 1)).size() == 3);
    const auto many = makeLimits(300, 1);
    std::set<std::uint64_t> sent;
    for (int n = 0; n < 5; ++n) {
        for (const LimitGossip &it : batcher.next(many))
            sent.insert(it.upstream);
    }
    CHECK(sent.size() == many.size());
}

TEST_CASE("round robin batcher: the largest message fits into a datagram [limit]")
{
    constexpr std::size_t kLargestDatagram = 65'507;
    RoundRobinBatcher<LimitGossip> batcher;
    Gossip message;
    message.limits = batcher.next(makeLimits(1'000, 9)); // the number of senders for a limit of 3.2
    CHECK(encodeGossip(message).size() < kLargestDatagram / 4);
}
