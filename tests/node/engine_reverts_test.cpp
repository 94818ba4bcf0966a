// SPDX-License-Identifier: MIT
// Runs nodes with a stand-in of the store and one engine. The engine is ordered to load weights and
// later reverts to older ones.
#include <doctest/doctest.h>

#include <atomic>

#include <nlohmann/json.hpp>

#include "node/weights_fleet.hpp"
#include "standins/blocking_server.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

// The number of the node that holds the lock. An owner begins with the node's name, such as "n1".
int findLockHolder(WeightsFleet &fleet)
{
    const std::string owner = fleet.store().value(RolloutExecutor::lockKey());
    REQUIRE(owner.size() > 1);
    return std::stoi(owner.substr(1));
}

// Loads the ordered weights at once. Its record changes only when the test writes it.
class OrderedEngine
{
public:
    explicit OrderedEngine(WeightsFleet &fleet)
        : m_fleet(fleet), m_address(fleet.host(90) + ":8080"),
          m_server(m_address, [this](const standins::Request &it) { return answer(it); })
    { }

    // Writes the engine's record, as a heartbeat does.
    void writeRecord()
    {
        Json record{{"service", "s"}, {"address", m_address}, {"zone", "domain-0"},
                    {"version", "v"}, {"slots", 8},           {"state", "ready"},
                    {"born", 1'000},  {"sequence", 1},        {"cold-remaining-ms", 0}};
        record["models"] = Json::array({{{"name", "m"}, {"version", m_version.load()}}});
        m_fleet.store().put("servers/e", record.dump());
    }

    // The engine executes a delayed order after its order count has restarted.
    void revertTo(std::uint64_t version)
    {
        m_version = version;
        m_ordersTaken = 1;
    }

    int orders() const { return m_orders; }
    std::uint64_t version() const { return m_version; }

private:
    standins::Answer answer(const standins::Request &request)
    {
        standins::Answer answer;
        if (request.path == "/api/report") {
            Json report{{"busy", false}, {"sequence", m_ordersTaken.load()}};
            report["models"] = Json::array({{{"name", "m"}, {"version", m_version.load()}}});
            answer.body = report.dump();
            return answer;
        }
        m_version = Json::parse(request.body).at("version").get<std::uint64_t>();
        ++m_ordersTaken;
        ++m_orders;
        answer.status = 202;
        return answer;
    }

    WeightsFleet &m_fleet;
    const std::string m_address;
    std::atomic<std::uint64_t> m_version{1};
    std::atomic<int> m_ordersTaken{0};
    std::atomic<int> m_orders{0};
    standins::BlockingServer m_server;
};

} // namespace

TEST_CASE("engine reverts: all nodes accept its record and it is ordered again [weights]")
{
    WeightsFleet fleet(3);
    OrderedEngine engine(fleet);
    engine.writeRecord();
    fleet.startAll();
    REQUIRE(fleet.waitForWeights(1));
    REQUIRE(fleet.waitForPeers());
    fleet.nameWeights(2);
    // Known from its report alone: the record is not updated yet.
    REQUIRE(fleet.waitForEngine("e@1000", 2));
    CHECK(engine.orders() == 1);
    engine.writeRecord();
    fleet.advance(3s);
    CHECK(engine.orders() == 1);
    engine.revertTo(1);
    engine.writeRecord();
    REQUIRE(fleet.waitForEngine("e@1000", 1));
    REQUIRE(fleet.waitForEngine("e@1000", 2));
    CHECK(engine.orders() == 2);
    CHECK(engine.version() == 2);
    engine.writeRecord();
    fleet.advance(10s);
    CHECK(fleet.waitForEngine("e@1000", 2));
    CHECK(engine.orders() == 2);
}

TEST_CASE("engine reverts: it is detected if its record never named the newer weights [weights]")
{
    WeightsFleet fleet(3);
    OrderedEngine engine(fleet);
    engine.writeRecord();
    fleet.startAll();
    REQUIRE(fleet.waitForWeights(1));
    REQUIRE(fleet.waitForPeers());
    fleet.nameWeights(2);
    REQUIRE(fleet.waitForEngine("e@1000", 2));
    engine.revertTo(1);
    fleet.advance(4s);
    CHECK(engine.orders() == 1);
    fleet.advance(4s);
    CHECK(engine.orders() == 2);
    CHECK(fleet.waitForEngine("e@1000", 2));
}

TEST_CASE(
    "engine reverts: a node that starts while the store is unreachable gets the reported versions "
    "from peers [weights]")
{
    WeightsFleet fleet(3);
    OrderedEngine engine(fleet);
    engine.writeRecord();
    fleet.startAll();
    REQUIRE(fleet.waitForWeights(1));
    REQUIRE(fleet.waitForPeers());
    fleet.nameWeights(2);
    REQUIRE(fleet.waitForEngine("e@1000", 2));
    fleet.store().setDown(true); // before the engine has written anything
    const int lockHolder = findLockHolder(fleet);
    fleet.advance(10s);
    CHECK(fleet.waitForEngine("e@1000", 2));
    for (int n = 0; n < 3; ++n) {
        if (n == lockHolder)
            continue;
        fleet.kill(n);
        fleet.start(n);
        REQUIRE(fleet.waitForPeers());
        CHECK(fleet.waitForEngine("e@1000", 2));
    }
}
