// SPDX-License-Identifier: MIT
// Reading the contents of the context stores from relays.
#include "node/context_relay_reader.hpp"

#include <atomic>
#include <mutex>

#include <doctest/doctest.h>
#include <unistd.h>

#include "fordwood/manual_clock.hpp"
#include "node/context_messages.hpp"
#include "standins/blocking_server.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

// A relay that serves the updates of one store, or fails.
class Relay
{
public:
    Relay(const Clock &clock, int n)
        : address("127.73." + std::to_string(static_cast<int>(getpid()) % 200 + 1) + "."
                  + std::to_string(n) + ":7100"),
          m_log(clock),
          m_server(address, [this](const standins::Request &it) { return answer(it); })
    {
        REQUIRE(m_server.listening());
    }

    void publish(const ContextStoreUpdate &update)
    {
        const std::lock_guard lock(m_mutex);
        m_log.storeAnswered(update);
    }

    const std::string address;
    std::atomic<int> calls{0};
    std::atomic<bool> fails{false};

private:
    standins::Answer answer(const standins::Request &request)
    {
        ++calls;
        const std::lock_guard lock(m_mutex);
        const auto positions = parseContextUpdatesTarget(request.path + "?" + request.query);
        standins::Answer made;
        made.status = fails || !positions ? 503 : 200;
        if (made.status == 200)
            made.body = encodeContextUpdates(m_log.updatesSince(*positions));
        return made;
    }

    std::mutex m_mutex;
    ContextStoreLog m_log;
    standins::BlockingServer m_server;
};

ContextStoreUpdate makeUpdate(std::uint64_t next, std::vector<StorePartChange> changes)
{
    ContextStoreUpdate update;
    update.store = "s";
    update.epoch = 3;
    update.next = next;
    update.changes = std::move(changes);
    return update;
}

ContextStore storeNamed(const std::string &name)
{
    ContextStore store;
    store.name = name;
    return store;
}

// A reader and the updates that it has published.
struct ReaderFixture
{
    ReaderFixture(const Clock &clock, ContextRelayReader::ChooseRelay chooseRelay)
        : client(context, clock),
          reader(context, client, clock, std::move(chooseRelay), [this](const FleetUpdate &it) {
              published.push_back(std::get<ContextStoreUpdated>(it).update);
          })
    {
        reader.setStores({storeNamed("s")});
        reader.setEnabled(true);
    }

    void runUntilPublished(std::size_t n)
    {
        while (published.size() < n)
            context.run_one_for(10ms);
    }

    boost::asio::io_context context;
    HttpClient client;
    std::vector<ContextStoreUpdate> published;
    ContextRelayReader reader;
};

} // namespace

TEST_CASE("relay reader: publishes all contents first, then changes, with the age of the store's "
          "answer [relays][stores]")
{
    ManualClock clock;
    Relay relay(clock, 1);
    relay.publish(makeUpdate(5, {{"salt", "a", true, 10}}));
    clock.advance(400ms);
    ReaderFixture fixture(clock, [&](const std::string &) { return relay.address; });
    fixture.runUntilPublished(1);
    CHECK(fixture.published[0].isSnapshot);
    CHECK(fixture.published[0].changes.size() == 1);
    CHECK(fixture.published[0].age == 400ms);
    relay.publish(makeUpdate(6, {{"salt", "b", true, 10}}));
    while (fixture.published.back().changes.empty() || fixture.published.back().isSnapshot)
        fixture.runUntilPublished(fixture.published.size() + 1);
    CHECK(fixture.published.back().changes.size() == 1);
    CHECK(fixture.published.back().changes[0].partId == "b");
    fixture.reader.setEnabled(false);
}

TEST_CASE("relay reader: after a failure another relay is asked [relays][stores]")
{
    ManualClock clock;
    Relay first(clock, 1);
    Relay second(clock, 2);
    first.fails = true;
    second.publish(makeUpdate(5, {}));
    ReaderFixture fixture(clock, [&](const std::string &failed) {
        return failed == first.address ? second.address : first.address;
    });
    fixture.runUntilPublished(1);
    CHECK(first.calls == 1);
    CHECK(second.calls == 1);
    fixture.reader.setEnabled(false);
}

TEST_CASE("relay reader: updates of a store that is not configured are ignored [relays][stores]")
{
    ManualClock clock;
    Relay relay(clock, 1);
    ContextStoreUpdate other = makeUpdate(5, {});
    other.store = "unknown";
    relay.publish(other);
    relay.publish(makeUpdate(5, {}));
    ReaderFixture fixture(clock, [&](const std::string &) { return relay.address; });
    fixture.runUntilPublished(2);
    for (const ContextStoreUpdate &it : fixture.published)
        CHECK(it.store == "s");
    fixture.reader.setEnabled(false);
}
