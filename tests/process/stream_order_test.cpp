// SPDX-License-Identifier: MIT
// Upstreams whose events are out of order, or that do not continue a stream where it broke off.
#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <sstream>

#include "process/node_deployment.hpp"
#include "process/stream_upstream.hpp"

using namespace fordwood::process;

namespace {

using Run = StreamUpstream::Run;

// The values of the lines `id:` in an answer, in order.
std::string idsOf(const std::string &body)
{
    std::string ids;
    std::istringstream in(body);
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("id: "))
            ids += (ids.empty() ? "" : ",") + line.substr(4);
    }
    return ids;
}

// One node before three upstreams. Each request that reaches any of them gets the next run of the
// script, and its last one from then on.
class ScriptedFleet : public Deployment
{
public:
    explicit ScriptedFleet(std::vector<StreamUpstream::Script> script) : m_script(std::move(script))
    {
        nlohmann::json config = configuration(1);
        for (nlohmann::json &it : config["routes"])
            it["max-attempts"] = 3;
        store.put("op/config", config.dump());
        for (int n = 0; n < 3; ++n) {
            const std::string id = "u-" + std::to_string(n);
            const std::string address = net + std::to_string(20 + n) + ":8000";
            m_upstreams.push_back(std::make_unique<StreamUpstream>(address, id, [this](int after) {
                const std::size_t run = std::min(m_runs++, m_script.size() - 1);
                return m_script[run](after);
            }));
            putUpstreamRecord({id, address, "v1"});
        }
        startNode(0);
        REQUIRE(Fleet::waitFor([&] { return isReady(0); }));
    }

    std::size_t runs() const { return m_runs; }

    // The caller has three events from an earlier request.
    HttpAnswer takeUp() const
    {
        return httpCall("GET", url(0, "/stream/1"), "",
                        {"Host: a.example", "Request-Id: r-2", "Credential: key-t",
                         "Request-Deadline: 4000", "Last-Event-Id: 3"});
    }

private:
    const std::vector<StreamUpstream::Script> m_script;
    std::atomic<std::size_t> m_runs{0};
    std::vector<std::unique_ptr<StreamUpstream>> m_upstreams;
};

Run breakOffAfterThree(int)
{
    Run run{StreamUpstream::events(1, 3)};
    run.parts.push_back(StreamUpstream::event(4).substr(0, 9));
    run.isCut = true;
    return run;
}

Run beginAnew(int)
{
    return {StreamUpstream::events(1, 6)};
}

Run goOn(int after)
{
    return {StreamUpstream::events(after + 1, 6)};
}

} // namespace

// Guards against events that a caller gets twice.
TEST_CASE("stream order: an upstream that begins anew in place of continuing a stream [node]"
          "[streams]")
{
    ScriptedFleet fleet({breakOffAfterThree, beginAnew, goOn});
    const HttpAnswer answer = fleet.call("GET", "/stream/1", "r-1");
    CHECK(idsOf(answer.body) == "1,2,3,4,5,6");
    CHECK(answer.isComplete);
    CHECK(fleet.runs() == 3);
    CHECK(Fleet::waitFor([&] { return fleet.logged(0, "name=StreamOrderBroken") == 1; }));
}

TEST_CASE("stream order: all upstreams begin anew in place of continuing a stream [node][streams]")
{
    ScriptedFleet fleet({breakOffAfterThree, beginAnew});
    const HttpAnswer answer = fleet.call("GET", "/stream/1", "r-1");
    CHECK(idsOf(answer.body) == "1,2,3");
    CHECK_FALSE(answer.isComplete);
}

TEST_CASE("stream order: a caller takes a stream up, and the first upstream begins anew [node]"
          "[streams]")
{
    ScriptedFleet fleet({beginAnew, goOn});
    const HttpAnswer answer = fleet.takeUp();
    CHECK(idsOf(answer.body) == "4,5,6");
    CHECK(answer.isComplete);
}

TEST_CASE("stream order: a caller takes a stream up, and all upstreams begin anew [node][streams]")
{
    ScriptedFleet fleet({beginAnew});
    const HttpAnswer answer = fleet.takeUp();
    CHECK(answer.status == 502);
    CHECK(idsOf(answer.body).empty());
}

TEST_CASE("stream order: an upstream sends an event twice [node][streams]")
{
    ScriptedFleet fleet({[](int) {
                             return Run{{StreamUpstream::event(1) + StreamUpstream::event(2),
                                         StreamUpstream::event(3) + StreamUpstream::event(3)
                                             + StreamUpstream::event(4)}};
                         },
                         goOn});
    const HttpAnswer answer = fleet.call("GET", "/stream/1", "r-1");
    CHECK(idsOf(answer.body) == "1,2,3,4,5,6");
    CHECK(answer.isComplete);
}

// Without ids, nothing tells an upstream where the stream broke off.
TEST_CASE("stream order: a stream without ids that breaks off is not begun anew [node][streams]")
{
    ScriptedFleet fleet({[](int) {
                             return Run{{"data: a\n\n", "data: b\n\n"}, {}, true};
                         },
                         [](int) {
                             return Run{{"data: a\n\n", "data: b\n\n", "data: c\n\n"}};
                         }});
    const HttpAnswer answer = fleet.call("GET", "/stream/1", "r-1");
    CHECK(answer.body == "data: a\n\ndata: b\n\n");
    CHECK_FALSE(answer.isComplete);
}

// Guards against the head of a failure in the middle of a stream: a body over the buffers' limit
// is passed on before it is complete.
TEST_CASE("stream order: an upstream that is to continue a stream fails with a large answer [node]"
          "[streams]")
{
    constexpr std::size_t kBodyBytes = 200'000; // above the limit of a channel
    ScriptedFleet fleet({breakOffAfterThree,
                         [](int) {
                             return Run{{std::string(kBodyBytes, 'e')}, {}, false, 500};
                         },
                         goOn});
    const HttpAnswer answer = fleet.call("GET", "/stream/1", "r-1");
    CHECK(answer.body.find("eee") == std::string::npos);
    CHECK(idsOf(answer.body) == "1,2,3,4,5,6");
    CHECK(answer.isComplete);
}
