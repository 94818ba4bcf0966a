// SPDX-License-Identifier: MIT
// Engines answer 421 when their weights are not those that a node takes them for. The answer tells
// which they are, but the node only passed the engine over for 150 ms, as it does with a full one,
// and then sent there anew: each time a caller paid a send, and part of the budget of repeated
// sends with it. In the run below, two engines, one of which runs other weights than its record
// says, turned away 18 of 40 requests 200 ms apart, and ran none although it might have.
#include <doctest/doctest.h>

#include <atomic>

#include "standins/blocking_server.hpp"
#include "support/serving_thread.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

constexpr const char *kModel = "m";

// An engine that runs one version of its model, and turns requests for another one away.
class VersionedEngine
{
public:
    // `tells`: its answers name the version.
    VersionedEngine(std::string id, std::string address, std::uint64_t version, bool namesVersion)
        : m_id(std::move(id)), m_address(std::move(address)), m_version(version),
          m_namesVersion(namesVersion),
          m_server(m_address, [this](const standins::Request &it) { return answer(it); })
    { }

    UpstreamRecord record(std::uint64_t version) const
    {
        UpstreamRecord record;
        record.instanceId = m_id;
        record.announcedId = m_id;
        record.service = "models";
        record.address = m_address;
        record.weightVersions[kModel] = version;
        return record;
    }

    int executed() const { return m_executed; }
    int rejected() const { return m_rejected; }
    int withoutCondition() const { return m_withoutCondition; }

private:
    standins::Answer answer(const standins::Request &request)
    {
        standins::Answer answer;
        answer.headers["Request-Id"] = request.header("Request-Id");
        answer.headers["Instance-Id"] = m_id;
        if (m_namesVersion)
            answer.headers["Versions"] = std::to_string(m_version);
        m_withoutCondition += request.header("Expect-Version").empty() ? 1 : 0;
        if (request.header("Expect-Version") == std::to_string(m_version)) {
            ++m_executed;
            answer.headers["Response-Seal"] = "seal";
            answer.body = "good";
            return answer;
        }
        ++m_rejected;
        answer.status = 421;
        answer.headers["Not-Executed"] = "1";
        return answer;
    }

    const std::string m_id;
    const std::string m_address;
    const std::uint64_t m_version;
    const bool m_namesVersion;
    std::atomic<int> m_executed{0};
    std::atomic<int> m_rejected{0};
    std::atomic<int> m_withoutCondition{0}; // requests that any weights would do for
    standins::BlockingServer m_server;
};

// A node's serving thread before two engines, over a paused clock.
class Serving
{
public:
    explicit Serving(bool namesVersion)
        : wrong("e0", ownAddress(40), 1, namesVersion), right("e1", ownAddress(41), 2, true),
          m_thread(pool())
    {
        write(wrong.record(2));
        write(right.record(2));
    }

    void write(const UpstreamRecord &record) { m_thread.write(record); }

    // Requests with contexts of their own, 200 ms apart. Gives how many were answered well.
    int send(int requests)
    {
        int answered = 0;
        for (int n = 0; n < requests; ++n) {
            m_thread.advance(200ms);
            answered += sendOne() == 200 ? 1 : 0;
        }
        return answered;
    }

    VersionedEngine wrong; // its record names version 2, and it runs version 1
    VersionedEngine right;

private:
    static ServicePool pool()
    {
        ServicePool pool;
        pool.name = "models";
        pool.engine = EngineTraits{8, 100'000, {kModel}, 0};
        return pool;
    }

    unsigned sendOne()
    {
        const std::string name = std::to_string(++m_requests);
        http::fields fields;
        fields.set("Model", kModel);
        fields.set("Token-Usage", "900,10");
        fields.set("Prompt-Prefix", "c" + name + ":800,own" + name + ":100");
        return m_thread.send(fields).status;
    }

    ServingThread m_thread;
    int m_requests = 0;
};

} // namespace

TEST_CASE("engine refusals: one that names other weights than believed is taken at its word "
          "[weights]")
{
    Serving serving(true);
    CHECK(serving.send(20) == 20);
    CHECK(serving.wrong.rejected() == 1);
    CHECK(serving.wrong.executed() >= 2);
    serving.write(serving.wrong.record(1)); // within three heartbeats at the latest
    CHECK(serving.send(20) == 20);
    CHECK(serving.wrong.rejected() == 1);
    CHECK(serving.wrong.executed() >= 5); // its weights are allowed as well
    CHECK(serving.wrong.executed() + serving.right.executed() == 40);
}

// A record that still says so after its time is believed again, lest an engine that has loaded its
// weights anew is left out for good.
TEST_CASE("engine refusals: one whose record goes on naming other weights is tried now and then "
          "[weights]")
{
    Serving serving(true);
    CHECK(serving.send(100) == 100);
    CHECK(serving.wrong.rejected() >= 2);
    CHECK(serving.wrong.rejected() <= 5); // in 20 s
}

TEST_CASE("engine refusals: one that does not name its weights gets nothing until they are known "
          "[weights]")
{
    Serving serving(false);
    CHECK(serving.send(10) == 10);
    CHECK(serving.wrong.rejected() == 1);
    serving.write(serving.wrong.record(1));
    CHECK(serving.send(40) == 40);
    CHECK(serving.wrong.rejected() == 1);
    CHECK(serving.wrong.executed() >= 5);
}

// A record that names version 0 tells none, since versions begin at 1. Such an engine was sent
// requests that any weights would do for, and that were kept apart from other teams' context by
// nothing: the condition and the salt are left out where the version is 0.
TEST_CASE("engine refusals: an engine whose weights are not known gets no request [weights]")
{
    Serving serving(true);
    UpstreamRecord record = serving.wrong.record(0);
    SUBCASE("its record names the version that is none") { }
    SUBCASE("its record names no model")
    {
        record.weightVersions.clear();
    }
    SUBCASE("its record names another model")
    {
        record.weightVersions = {{"other", 1}};
    }
    serving.write(record);
    CHECK(serving.send(20) == 20);
    CHECK(serving.wrong.withoutCondition() == 0);
    CHECK(serving.right.withoutCondition() == 0);
    CHECK(serving.right.executed() == 20);
    serving.write(serving.wrong.record(1));
    CHECK(serving.send(20) == 20);
    CHECK(serving.wrong.executed() >= 2);
}
