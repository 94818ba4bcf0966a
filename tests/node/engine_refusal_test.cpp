// SPDX-License-Identifier: MIT
// An engine answers 421 if it runs other weights than the node expects, and names its version in
// the answer. Guards against a node that ignores this version, skips the engine for 150 ms like a
// full one and then tries it again: each try costs the caller a send and a part of the retry
// budget. In the run below with two engines and 40 requests 200 ms apart, the engine whose record
// names other weights than it runs rejected 18 requests and ran none, although it could have.
#include <doctest/doctest.h>

#include <atomic>

#include "standins/blocking_server.hpp"
#include "support/serving_thread.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

constexpr const char *kModel = "m";

// An engine that runs one version of its model and rejects requests for another one.
class VersionedEngine
{
public:
    // `namesVersion`: whether its answers name the version.
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
    std::atomic<int> m_withoutCondition{0}; // requests without an expected version
    standins::BlockingServer m_server;
};

// A node's serving thread with two engines and a manual clock.
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

    // Sends requests with separate contexts, 200 ms apart. Returns how many were answered with 200.
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

TEST_CASE("engine refusals: the version that an engine names replaces the expected one "
          "[weights]")
{
    Serving serving(true);
    CHECK(serving.send(20) == 20);
    CHECK(serving.wrong.rejected() == 1);
    CHECK(serving.wrong.executed() >= 2);
    serving.write(serving.wrong.record(1)); // an engine does so within three heartbeats
    CHECK(serving.send(20) == 20);
    CHECK(serving.wrong.rejected() == 1);
    CHECK(serving.wrong.executed() >= 5); // the older weights are still allowed
    CHECK(serving.wrong.executed() + serving.right.executed() == 40);
}

// A record that still names the rejected version after some time is accepted again. Otherwise an
// engine that has loaded these weights again would be left out for good.
TEST_CASE("engine refusals: one whose record keeps naming other weights is retried now and then "
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

// Version 0 in a record means none, since versions begin at 1. Guards against sending requests to
// such an engine: with version 0 the expected version and the context salt are left out, so any
// weights would be accepted and nothing would separate the context from that of other teams.
TEST_CASE("engine refusals: an engine with unknown weights gets no request [weights]")
{
    Serving serving(true);
    UpstreamRecord record = serving.wrong.record(0);
    SUBCASE("its record names version 0") { }
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
