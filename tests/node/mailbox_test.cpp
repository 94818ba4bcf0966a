// SPDX-License-Identifier: MIT
// Updates from the control thread to the serving thread: the queues are bounded and lose nothing
// that matters.
#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include "node/mailbox.hpp"
#include "node/update_queue.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

FleetUpdate storeUpdated(const std::string &store, std::uint64_t epoch,
                         std::vector<StorePartChange> changes, bool isSnapshot = false)
{
    ContextStoreUpdate update;
    update.store = store;
    update.epoch = epoch;
    update.isSnapshot = isSnapshot;
    update.changes = std::move(changes);
    return ContextStoreUpdated{update};
}

std::vector<FleetUpdate> drain(UpdateQueue &queue)
{
    std::vector<FleetUpdate> taken;
    queue.flush([&](const FleetUpdate &it) {
        taken.push_back(it);
        return true;
    });
    return taken;
}

} // namespace

TEST_CASE("mailbox: a full one rejects values, keeps its content, and accepts again once read "
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

TEST_CASE("update queue: does not grow while updates concern the same subjects [mailbox]")
{
    UpdateQueue queue;
    for (std::size_t n = 0; n < 10'000; ++n) {
        queue.push(PeerLoads{"n" + std::to_string(n % 3), {}, n, {}});
        queue.push(LiveNodeCount{n});
        queue.push(UpstreamRecordWritten{{}});
    }
    CHECK(queue.size() == 5);
    for (const FleetUpdate &it : drain(queue)) {
        if (const auto *live = std::get_if<LiveNodeCount>(&it))
            CHECK(live->n == 9'999);
    }
    CHECK(queue.isEmpty());
}

TEST_CASE("update queue: the removal of an upstream replaces its record [mailbox]")
{
    UpdateQueue queue;
    UpstreamRecord record;
    record.instanceId = "i-1";
    queue.push(UpstreamRecordWritten{record});
    queue.push(UpstreamRecordRemoved{"i-1", false});
    const auto taken = drain(queue);
    REQUIRE(taken.size() == 1);
    CHECK(std::holds_alternative<UpstreamRecordRemoved>(taken.front()));
}

TEST_CASE("update queue: updates of a context store are merged [mailbox]")
{
    UpdateQueue queue;
    queue.push(storeUpdated("s", 1, {{"salt", "a", true, 100}, {"salt", "b", true, 200}}));
    queue.push(storeUpdated("s", 1, {{"salt", "a", false, 0}, {"salt", "c", true, 300}}));
    const auto taken = drain(queue);
    REQUIRE(taken.size() == 1);
    const ContextStoreUpdate &update = std::get<ContextStoreUpdated>(taken.front()).update;
    REQUIRE(update.changes.size() == 3);
    CHECK(update.changes[0].partId == "a");
    CHECK_FALSE(update.changes[0].held);
    CHECK(update.changes[2].partId == "c");
}

TEST_CASE("update queue: updates from before a context store lost its content are dropped "
          "[mailbox]")
{
    UpdateQueue queue;
    queue.push(storeUpdated("s", 1, {{"salt", "a", true, 100}}));
    queue.push(storeUpdated("s", 2, {{"salt", "b", true, 200}}));
    queue.push(storeUpdated("s", 2, {{"salt", "c", true, 1}}, true));
    const auto taken = drain(queue);
    REQUIRE(taken.size() == 1);
    const ContextStoreUpdate &update = std::get<ContextStoreUpdated>(taken.front()).update;
    REQUIRE(update.changes.size() == 1);
    CHECK(update.changes.front().partId == "c");
    CHECK(update.isSnapshot);
}

TEST_CASE("update queue: a context store that answers again does not count as failed [mailbox]")
{
    UpdateQueue queue;
    queue.push(ContextStoreFailed{"s"});
    queue.push(storeUpdated("s", 1, {}));
    auto taken = drain(queue);
    REQUIRE(taken.size() == 1);
    CHECK(std::holds_alternative<ContextStoreUpdated>(taken.front()));

    queue.push(storeUpdated("s", 1, {}));
    queue.push(ContextStoreFailed{"s"});
    taken = drain(queue);
    REQUIRE(taken.size() == 2);
    CHECK(std::holds_alternative<ContextStoreFailed>(taken.back()));
}

// Otherwise the receiver would take its knowledge of weights for complete before it has all of it.
TEST_CASE("update queue: the replica's completeness does not overtake the changes that it vouches "
          "for [mailbox]")
{
    UpdateQueue queue;
    queue.push(ReplicaCompleteness{TimePoint(1s)});
    queue.push(WeightVersionNamed{"m", 2, {}});
    queue.push(ReplicaCompleteness{TimePoint(2s)});
    const auto taken = drain(queue);
    REQUIRE(taken.size() == 2);
    CHECK(std::holds_alternative<WeightVersionNamed>(taken.front()));
    CHECK(std::get<ReplicaCompleteness>(taken.back()).asOf == TimePoint(2s));
}

TEST_CASE("update queue: stops at an update that is not accepted and resumes there [mailbox]")
{
    UpdateQueue queue;
    queue.push(LiveNodeCount{1});
    queue.push(ReplicaCompleteness{});
    int capacity = 1;
    const auto take = [&](const FleetUpdate &) { return capacity-- > 0; };
    queue.flush(take);
    CHECK(queue.size() == 1);
    capacity = 1;
    queue.flush(take);
    CHECK(queue.isEmpty());
}
