// SPDX-License-Identifier: MIT
// What the control thread tells the serving thread: bounded, and nothing that matters is lost.
#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include "node/mailbox.hpp"
#include "node/update_queue.hpp"

using namespace fordwood;
using namespace fordwood::node;

namespace {

FleetUpdate told(const std::string &store, std::uint64_t epoch,
                 std::vector<StorePartChange> changes, bool isSnapshot = false)
{
    ContextStoreUpdate news;
    news.store = store;
    news.epoch = epoch;
    news.isSnapshot = isSnapshot;
    news.changes = std::move(changes);
    return ContextStoreUpdated{news};
}

std::vector<FleetUpdate> takeAll(UpdateQueue &queue)
{
    std::vector<FleetUpdate> taken;
    queue.flush([&](const FleetUpdate &it) {
        taken.push_back(it);
        return true;
    });
    return taken;
}

} // namespace

TEST_CASE("mailbox: a full one refuses, keeps what it has, and takes again once it was read "
          "[mailbox]")
{
    boost::asio::io_context consumer;
    std::vector<int> taken;
    Mailbox<int> mailbox(consumer, 2, [&](int it) { taken.push_back(it); });
    CHECK(mailbox.push(1));
    CHECK(mailbox.push(2));
    CHECK_FALSE(mailbox.push(3));
    consumer.run();
    CHECK(taken == std::vector<int>{1, 2});
    CHECK(mailbox.push(4));
    consumer.restart();
    consumer.run();
    CHECK(taken == std::vector<int>{1, 2, 4});
}

TEST_CASE("update queue: does not grow with time while the same subjects change [mailbox]")
{
    UpdateQueue queue;
    for (std::size_t n = 0; n < 10'000; ++n) {
        queue.push(PeerLoads{"n" + std::to_string(n % 3), {}, n, {}});
        queue.push(LiveNodeCount{n});
        queue.push(UpstreamRecordWritten{{}});
    }
    CHECK(queue.size() == 5);
    for (const FleetUpdate &it : takeAll(queue)) {
        if (const auto *live = std::get_if<LiveNodeCount>(&it))
            CHECK(live->n == 9'999);
    }
    CHECK(queue.isEmpty());
}

TEST_CASE("update queue: the removal of an upstream outlives its record [mailbox]")
{
    UpdateQueue queue;
    UpstreamRecord record;
    record.instanceId = "i-1";
    queue.push(UpstreamRecordWritten{record});
    queue.push(UpstreamRecordRemoved{"i-1", false});
    const auto taken = takeAll(queue);
    REQUIRE(taken.size() == 1);
    CHECK(std::holds_alternative<UpstreamRecordRemoved>(taken.front()));
}

TEST_CASE("update queue: what a store of kept context tells is added up [mailbox]")
{
    UpdateQueue queue;
    queue.push(told("s", 1, {{"salt", "a", true, 100}, {"salt", "b", true, 200}}));
    queue.push(told("s", 1, {{"salt", "a", false, 0}, {"salt", "c", true, 300}}));
    const auto taken = takeAll(queue);
    REQUIRE(taken.size() == 1);
    const ContextStoreUpdate &news = std::get<ContextStoreUpdated>(taken.front()).update;
    REQUIRE(news.changes.size() == 3);
    CHECK(news.changes[0].partId == "a");
    CHECK_FALSE(news.changes[0].held);
    CHECK(news.changes[2].partId == "c");
}

TEST_CASE("update queue: what a store told before it lost everything is dropped [mailbox]")
{
    UpdateQueue queue;
    queue.push(told("s", 1, {{"salt", "a", true, 100}}));
    queue.push(told("s", 2, {{"salt", "b", true, 200}}));
    queue.push(told("s", 2, {{"salt", "c", true, 1}}, true));
    const auto taken = takeAll(queue);
    REQUIRE(taken.size() == 1);
    const ContextStoreUpdate &news = std::get<ContextStoreUpdated>(taken.front()).update;
    REQUIRE(news.changes.size() == 1);
    CHECK(news.changes.front().partId == "c");
    CHECK(news.isSnapshot);
}

TEST_CASE("update queue: a store that answers again is not taken as silent [mailbox]")
{
    UpdateQueue queue;
    queue.push(ContextStoreFailed{"s"});
    queue.push(told("s", 1, {}));
    auto taken = takeAll(queue);
    REQUIRE(taken.size() == 1);
    CHECK(std::holds_alternative<ContextStoreUpdated>(taken.front()));

    queue.push(told("s", 1, {}));
    queue.push(ContextStoreFailed{"s"});
    taken = takeAll(queue);
    REQUIRE(taken.size() == 2);
    CHECK(std::holds_alternative<ContextStoreFailed>(taken.back()));
}

TEST_CASE("update queue: stops at what is not taken, and goes on from there [mailbox]")
{
    UpdateQueue queue;
    queue.push(LiveNodeCount{1});
    queue.push(ReceivesVersions{true});
    int room = 1;
    const auto take = [&](const FleetUpdate &) { return room-- > 0; };
    queue.flush(take);
    CHECK(queue.size() == 1);
    room = 1;
    queue.flush(take);
    CHECK(queue.isEmpty());
}
