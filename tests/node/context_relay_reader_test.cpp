// SPDX-License-Identifier: MIT
// A node that hears of the stores of kept context from relays.
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

// A relay that tells of one store, or fails.
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

    void tell(const StoreNews &news)
    {
        const std::lock_guard lock(m_mutex);
        m_log.storeAnswered(news);
    }

    const std::string address;
    std::atomic<int> calls{0};
    std::atomic<bool> fails{false};

private:
    standins::Answer answer(const standins::Request &request)
    {
        ++calls;
        const std::lock_guard lock(m_mutex);
        const auto positions = readContextNewsTarget(request.path + "?" + request.query);
        standins::Answer made;
        made.status = fails || !positions ? 503 : 200;
        if (made.status == 200)
            made.body = encodeContextNews(m_log.updatesSince(*positions));
        return made;
    }

    std::mutex m_mutex;
    ContextStoreLog m_log;
    standins::BlockingServer m_server;
};

StoreNews news(std::uint64_t next, std::vector<StorePartChange> changes)
{
    StoreNews told;
    told.store = "s";
    told.epoch = 3;
    told.next = next;
    told.changes = std::move(changes);
    return told;
}

ContextStore storeNamed(const std::string &name)
{
    ContextStore store;
    store.name = name;
    return store;
}

// A reader, and what it has told.
struct Reading
{
    Reading(const Clock &clock, ContextRelayReader::Source source)
        : caller(context, clock),
          reader(context, caller, clock, std::move(source), [this](const FleetUpdate &it) {
              told.push_back(std::get<ContextStoreTold>(it).news);
          })
    {
        reader.setStores({storeNamed("s")});
        reader.setReading(true);
    }

    void untilTold(std::size_t n)
    {
        while (told.size() < n)
            context.run_one_for(10ms);
    }

    boost::asio::io_context context;
    HttpCaller caller;
    std::vector<StoreNews> told;
    ContextRelayReader reader;
};

} // namespace

TEST_CASE("relay reader: all at first, then what has changed, as old as the store's word "
          "[relays][stores]")
{
    ManualClock clock;
    Relay relay(clock, 1);
    relay.tell(news(5, {{"salt", "a", true, 10}}));
    clock.advance(400ms);
    Reading reading(clock, [&](const std::string &) { return relay.address; });
    reading.untilTold(1);
    CHECK(reading.told[0].restated);
    CHECK(reading.told[0].changes.size() == 1);
    CHECK(reading.told[0].age == 400ms);
    relay.tell(news(6, {{"salt", "b", true, 10}}));
    while (reading.told.back().changes.empty() || reading.told.back().restated)
        reading.untilTold(reading.told.size() + 1);
    CHECK(reading.told.back().changes.size() == 1);
    CHECK(reading.told.back().changes[0].partId == "b");
    reading.reader.setReading(false);
}

TEST_CASE("relay reader: one that fails is named, so that another is asked [relays][stores]")
{
    ManualClock clock;
    Relay first(clock, 1);
    Relay second(clock, 2);
    first.fails = true;
    second.tell(news(5, {}));
    Reading reading(clock, [&](const std::string &failed) {
        return failed == first.address ? second.address : first.address;
    });
    reading.untilTold(1);
    CHECK(first.calls == 1);
    CHECK(second.calls == 1);
    reading.reader.setReading(false);
}

TEST_CASE("relay reader: a store that is in no configuration is passed over [relays][stores]")
{
    ManualClock clock;
    Relay relay(clock, 1);
    StoreNews other = news(5, {});
    other.store = "unknown";
    relay.tell(other);
    relay.tell(news(5, {}));
    Reading reading(clock, [&](const std::string &) { return relay.address; });
    reading.untilTold(2);
    for (const StoreNews &it : reading.told)
        CHECK(it.store == "s");
    reading.reader.setReading(false);
}
