// SPDX-License-Identifier: MIT
// Tests that messages and documents of the platform are parsed strictly into the project's types.
#include <limits>

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "fordwood/rendezvous.hpp"
#include "node/cbor.hpp"
#include "node/context_messages.hpp"
#include "node/peer_messages.hpp"
#include "node/place_messages.hpp"
#include "node/placement_messages.hpp"
#include "node/quarantine_distributor.hpp"
#include "node/refusal.hpp"
#include "node/replica_sources.hpp"
#include "node/stream_messages.hpp"
#include "platform/caller_messages.hpp"
#include "platform/documents.hpp"
#include "platform/engine_calls.hpp"
#include "platform/instance_id.hpp"
#include "platform/store_calls.hpp"

using namespace fordwood;
using namespace fordwood::platform;
using Json = nlohmann::json;
using namespace std::chrono_literals;

namespace {

node::HttpResult replyOf(unsigned status, const std::string &body)
{
    return node::HttpReply{status, body};
}

std::string textOf(const Fields &fields, const char *name)
{
    return std::string(fields[name]);
}

} // namespace

TEST_CASE("callers: the head of a request is parsed [platform]")
{
    Fields fields;
    fields.set("Request-Id", "9c41");
    fields.set("Request-Deadline", "6000");
    fields.set("Credential", "key");
    fields.set("Model", "m");
    fields.set("Token-Usage", "1460,80");
    fields.set("Prompt-Prefix", "5c1e:800,91bd:410,e440:250");
    fields.set("Last-Event-Id", "12");
    const CallerHead head = readCallerHead(fields);
    CHECK(head.requestId == "9c41");
    CHECK(head.timeout == 6s);
    CHECK(head.teamKey == "key");
    CHECK(head.resumeFrom == 12);
    REQUIRE(head.prompt);
    CHECK(head.prompt->tokensIn == 1460);
    CHECK(head.prompt->maxTokensOut == 80);
    REQUIRE(head.prompt->parts.size() == 3);
    CHECK(head.prompt->parts[1].id == "91bd");
    CHECK(head.prompt->sharedTokens() == 1210);
}

TEST_CASE(
    "upstreams: the limit in an answer is parsed; an invalid value is distinguished from no limit "
    "[platform][limit][bad-input]")
{
    const auto read = [](std::initializer_list<const char *> values) {
        Fields fields;
        for (const char *it : values)
            fields.insert("Server-Limit", it);
        return readAnswerHead(200, fields).limit;
    };
    CHECK_FALSE(read({}).perSecond);
    CHECK_FALSE(read({}).isUnreadable);
    CHECK(read({"3.2"}).perSecond == 3.2);
    CHECK(read({"4"}).perSecond == 4.0);
    CHECK(read({"0"}).perSecond == 0.0);
    CHECK(read({"1e300"}).perSecond == 1e300);
    for (const char *it : {"", "-0.5", "nan", "inf", "1e999", "3.2/s", "3,2", "three", "0x10"}) {
        CAPTURE(it);
        CHECK_FALSE(read({it}).perSecond);
        CHECK(read({it}).isUnreadable);
    }
    CHECK(read({"5", "3.2"}).perSecond == 3.2);
    CHECK(read({"5", "many"}).perSecond == 5.0);
    CHECK(read({"5", "many"}).isUnreadable);
}

TEST_CASE("upstreams: draining and backoff in an answer are parsed "
          "[platform][drain][backoff][bad-input]")
{
    const auto read = [](unsigned status, std::initializer_list<const char *> values) {
        Fields fields;
        for (const char *it : values)
            fields.insert("Retry-After", it);
        return readAnswerHead(status, fields).backoff;
    };
    CHECK_FALSE(read(503, {}).length);
    CHECK_FALSE(read(200, {"3"}).length);
    CHECK_FALSE(read(429, {"3"}).length);
    CHECK(read(503, {"3"}).length == Duration(3s));
    CHECK(read(503, {"0.25"}).length == Duration(250ms));
    CHECK(read(503, {"0"}).length == Duration(0s));
    CHECK(read(503, {"1", "2.5"}).length == Duration(2500ms));
    CHECK(*read(503, {"1e300"}).length > 24h);
    for (const char *it : {"", "-1", "nan", "inf", "3s", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        CAPTURE(it);
        CHECK_FALSE(read(503, {it}).length);
        CHECK(read(503, {it}).isUnreadable);
    }
    const auto isDraining = [](const char *value) {
        Fields fields;
        fields.set("Server-Leaving", value);
        return readAnswerHead(200, fields).isDraining;
    };
    CHECK(isDraining("1"));
    CHECK_FALSE(isDraining("0"));
    CHECK_FALSE(isDraining(""));
    CHECK_FALSE(readAnswerHead(200, Fields{}).isDraining);
}

TEST_CASE("callers: invalid numbers count as absent [platform][bad-input]")
{
    Fields fields;
    fields.set("Request-Deadline", "soon");
    fields.set("Last-Event-Id", "-");
    fields.set("Model", "m");
    fields.set("Token-Usage", "many");
    fields.set("Prompt-Prefix", ":,x:y,:7");
    const CallerHead head = readCallerHead(fields);
    CHECK_FALSE(head.timeout);
    CHECK_FALSE(head.resumeFrom);
    REQUIRE(head.prompt);
    CHECK(head.prompt->tokensIn == 0);
    CHECK(head.prompt->parts.size() == 3);
}

TEST_CASE("upstreams: reserved header fields of a caller are not forwarded [platform][isolation]")
{
    Fields caller;
    caller.set("Request-Id", "9c41");
    caller.set("X-Other", "stays");
    caller.set("Connection", "X-Hop");
    caller.set("X-Hop", "goes");
    caller.set("Credential", "key");
    for (const char *it :
         {"Tenant", "Cache-Salt", "Kv-Fetch", "Kv-Save", "Kv-From", "Kv-Backup", "Kv-Until", "Hold",
          "Pin-Ms", "Expect-Instance", "Expect-Version", "Priority"})
        caller.set(it, "forged");
    SystemFields stamp;
    stamp.instanceId = "i-1";
    stamp.timeout = 900ms;
    Fields head;
    writeUpstreamHead(caller, stamp, head);
    for (const auto &it : head) {
        CHECK(std::string(it.value()).find("forged") == std::string::npos);
        CHECK(std::string(it.value()) != "key");
    }
    CHECK(textOf(head, "Request-Id") == "9c41");
    CHECK(textOf(head, "X-Other") == "stays");
    CHECK(textOf(head, "X-Hop").empty());
    CHECK(textOf(head, "Expect-Instance") == "i-1");
    CHECK(textOf(head, "Request-Deadline") == "900");
    CHECK(textOf(head, "Tenant").empty());
}

TEST_CASE("upstreams: the header fields that a request to an engine gets [platform]")
{
    SystemFields stamp;
    stamp.instanceId = "i-1";
    stamp.team = "a";
    stamp.timeout = 900ms;
    stamp.resumeFrom = 7;
    stamp.priority = 23;
    stamp.weightVersion = 3;
    stamp.contextSalt = "salt";
    stamp.fetchFrom = {"", "10.0.0.1:80", ""};
    stamp.saveTo = {"", "", ""};
    stamp.fetchDeadline = 12'345ms;
    Fields head;
    writeUpstreamHead({}, stamp, head);
    CHECK(textOf(head, "Tenant") == "a");
    CHECK(textOf(head, "Last-Event-Id") == "7");
    CHECK(textOf(head, "Priority") == "9");
    CHECK(textOf(head, "Expect-Version") == "3");
    CHECK(textOf(head, "Cache-Salt") == "salt");
    CHECK(textOf(head, "Kv-Fetch") == "-,10.0.0.1:80,-");
    CHECK(textOf(head, "Kv-Until") == "12345");
    CHECK(head.find("Kv-Save") == head.end());
}

TEST_CASE("answers: which of them mean that the request has not run [platform][not-run]")
{
    Fields fields;
    CHECK_FALSE(readAnswerHead(503, fields).hasNotRun);
    CHECK(readAnswerHead(421, fields).hasNotRun);
    CHECK(readAnswerHead(421, fields).isInstanceMismatch);
    CHECK_FALSE(isFromOtherInstance(readAnswerHead(421, fields), "i-1")); // it names no instance
    fields.set("Instance-Id", "i-2");
    CHECK(isFromOtherInstance(readAnswerHead(421, fields), "i-1"));
    CHECK(isFromOtherInstance(readAnswerHead(421, fields), "i-1@1796000000000"));
    CHECK_FALSE(
        isFromOtherInstance(readAnswerHead(421, fields), "i-2@1796000000000")); // other weights
    CHECK_FALSE(isFromOtherInstance(readAnswerHead(503, fields), "i-1"));
    fields.set("Not-Executed", "1");
    fields.set("Keep-Alive", "max=5, timeout=7");
    fields.set("Response-Seal", "x");
    const AnswerHead head = readAnswerHead(503, fields);
    CHECK(head.hasNotRun);
    CHECK(head.isSealed);
    CHECK(head.keepAlive == 7s);
}

TEST_CASE("configuration: routes, splits, services, stores, teams and limits [platform]")
{
    const auto config = readConfiguration(R"({"version":7,
        "routes":[{"name":"r1","host":"a.example","path-prefix":"/x/","kind":"streaming",
                   "timeout-ms":10000,"target-latency-ms":800,"gap_aim_ms":250,"priority":1,
                   "max-attempts":2,
                   "traffic-split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
                   "resumable":true},
                  {"name":"r2","host":"a.example","path-prefix":"/y/","kind":"safe",
                   "service":"s2","public":true}],
        "services":[{"name":"s1","max-connections":240,
                     "engine":{"slots":32,"kv-cache-tokens":87295,"models":[{"name":"m"}]}},
                    {"name":"s2","max-connections":110,"cold-start-s":3.5,"cold-per-s":14.0},
                    {"name":"k","kv-store-address":"10.0.0.9:80","zone":"z",
                     "kv-cache-tokens":1000,"managed":true,"max-in-flight":12}],
        "limits":{"max-header-bytes":16384,"idle-timeout-ms":15000},
        "tenants":[{"name":"t","api-keys":["k1"],"priority":1,"isolated":true},{"name":"u"}]})");
    REQUIRE(config);
    CHECK(config->version == 7);
    REQUIRE(config->routes.size() == 2);
    CHECK(config->routes[0].mayRunAgain());
    CHECK(config->routes[0].targets.size() == 2);
    CHECK(config->routes[0].timeout == 10s);
    CHECK(config->routes[0].targetLatency == 800ms);
    CHECK(config->routes[0].maxPause == 250ms);
    CHECK(config->routes[1].maxPause == 0ms);
    CHECK(config->routes[1].repeatable);
    CHECK(config->routes[1].isPublic);
    REQUIRE(config->services.size() == 2);
    CHECK(config->services[0].engine->slots == 32);
    CHECK_FALSE(config->services[1].engine);
    CHECK(config->services[0].coldRequestsPerSecond == 0.0);
    CHECK(config->services[1].coldStart == 3500ms);
    CHECK(config->services[1].coldRequestsPerSecond == 14.0);
    REQUIRE(config->stores.size() == 1);
    CHECK(config->stores[0].address == "10.0.0.9:80");
    CHECK(config->stores[0].maxReaders == 12);
    CHECK(config->limits.idleTimeout == 15s);
    CHECK(config->limits.maxBodyBytes == 4'194'304);
    REQUIRE(config->teams.size() == 2);
    CHECK(config->teams[0].isolated);
    CHECK(config->teams[0].priority == 1);
    CHECK_FALSE(config->teams[1].priority);
}

TEST_CASE("configuration: an invalid one is rejected with a description [platform][bad-input]")
{
    for (const char *it : {"", "{", "[]", "{}", R"({"version":"x","routes":[],"services":[]})",
                           R"({"version":1,"routes":[{}],"services":[]})",
                           R"({"version":1,"routes":7,"services":[]})",
                           R"({"version":1,"services":[],"routes":[{"host":"a","path-prefix":"/",
                               "service":"s","gap_aim_ms":"250"}]})",
                           R"({"version":1,"services":[],"routes":[{"host":"a","path-prefix":"/",
                               "service":"s","gap_aim_ms":null}]})"}) {
        const auto config = readConfiguration(it);
        REQUIRE_FALSE(config);
        CHECK_FALSE(config.error().problem.empty());
    }
}

namespace {

// A record as upstreams write it, with the given fields replaced; null removes a field.
std::string recordWith(const Json &fields)
{
    Json record{
        {"service", "s"},  {"address", "10.0.0.2:80"}, {"zone", "z"},   {"version", "v1"},
        {"slots", 32},     {"state", "ready"},         {"sequence", 4}, {"cold-remaining-ms", 0},
        {"stage", "both"}, {"born", 1'796'000'000'000}};
    record["models"] = Json::array({{{"name", "m"}, {"version", 4}, {"adapters", Json::array()}}});
    for (const auto &[name, value] : fields.items()) {
        if (value.is_null())
            record.erase(name);
        else
            record[name] = value;
    }
    return record.dump();
}

} // namespace

TEST_CASE("upstream records: state, weights, cold start and instance [platform]")
{
    const auto record = readUpstream(
        "servers/i-7", recordWith({{"state", "draining"}, {"cold-remaining-ms", 1821}}));
    REQUIRE(record);
    CHECK(record->announcedId == "i-7");
    CHECK(record->instanceId == "i-7@1796000000000");
    CHECK(record->startedAt == WallTime(1'796'000'000'000ms));
    CHECK(record->draining);
    CHECK(record->coldFor == 1821ms);
    CHECK(record->weightVersions.at("m") == 4);
    CHECK(kindOf("servers/i-7") == DocumentKind::Upstream);
    CHECK(kindOf("op/config") == DocumentKind::Configuration);
    CHECK(kindOf("op/version/m") == DocumentKind::WeightVersion);
    CHECK(kindOf("op/evacuate/z") == DocumentKind::Evacuation);
    CHECK(evacuatedDomainOf("op/evacuate/z") == "z");
    CHECK(kindOf("op/other") == DocumentKind::Other);
}

TEST_CASE("upstream records: the models and the start time are optional [platform]")
{
    const auto record
        = readUpstream("servers/i-7", recordWith({{"models", nullptr}, {"born", nullptr}}));
    REQUIRE(record);
    CHECK(record->instanceId == "i-7");
    CHECK(record->weightVersions.empty());
}

TEST_CASE("upstream records: one with a missing or invalid field is rejected "
          "[platform][bad-input]")
{
    for (const char *it : {"service", "address", "zone", "version", "slots", "state", "sequence",
                           "cold-remaining-ms"}) {
        CAPTURE(it);
        CHECK_FALSE(readUpstream("servers/i-7", recordWith({{it, nullptr}})));
        for (const Json &wrong :
             {Json(true), Json(-1), Json(1.5), Json::array(), Json::object(), Json("")})
            CHECK_FALSE(readUpstream("servers/i-7", recordWith({{it, wrong}})));
    }
    for (const Json &wrong :
         {Json("1796000000000"), Json(1.5), Json(-1), Json(true), Json::array()})
        CHECK_FALSE(readUpstream("servers/i-7", recordWith({{"born", wrong}})));
    for (const char *it : {"born", "cold-remaining-ms"})
        CHECK_FALSE(readUpstream("servers/i-7", recordWith({{it, UINT64_MAX}})));
    CHECK_FALSE(readUpstream("servers/i-7", recordWith({{"state", "resting"}})));
    CHECK_FALSE(readUpstream("servers/i-7", recordWith({{"address", "10.0.0.2"}})));
    CHECK_FALSE(readUpstream("servers/i-7", recordWith({{"address", "a.example:80"}})));
    CHECK_FALSE(readUpstream("servers/i-7", recordWith({{"models", {{{"name", "m"}}}}})));
    CHECK_FALSE(readUpstream("servers/i-7", recordWith({{"models", 7}})));
    for (const char *it : {"", "null", "[]", "7", "{", "\xff\xfe"})
        CHECK_FALSE(readUpstream("servers/i-7", it));
}

TEST_CASE("upstreams: messages to an upstream name its announced id, not its instance [platform]")
{
    const std::string instance = makeInstanceId("i-7", WallTime(1'796'000'000'000ms));
    CHECK(announcedIdOfInstance(instance) == "i-7");
    CHECK(announcedIdOfInstance("i-7") == "i-7");
    SystemFields stamp;
    stamp.instanceId = instance;
    Fields head;
    writeUpstreamHead({}, stamp, head);
    CHECK(textOf(head, "Expect-Instance") == "i-7");
    FetchReport ask;
    ask.instanceId = instance;
    CHECK(reportCall(ask).fields.front().second == "i-7");
    OrderWeights order;
    order.instanceId = instance;
    CHECK(orderCall(order, "n").fields.front().second == "i-7");
}

// Guards against a field that Beast rejects with an exception, which nothing catches.
TEST_CASE("upstreams: addresses that do not fit into a field are left out [platform][size]")
{
    SystemFields stamp;
    stamp.saveTo.assign(10'000, "127.100.100.100:10000");
    stamp.fetchFrom.assign(40'000, "127.100.100.100:10000");
    Fields head;
    writeUpstreamHead({}, stamp, head);
    const std::string saveTo(textOf(head, "Kv-Save"));
    CHECK(saveTo.size() < 65'000);
    CHECK(std::count(saveTo.begin(), saveTo.end(), ',') == 9'999);
    CHECK(saveTo.starts_with("127.100.100.100:10000,127"));
    CHECK(saveTo.ends_with(",-"));
    CHECK(textOf(head, "Kv-Fetch").empty());
}

TEST_CASE("store: pages, changes and removals [platform]")
{
    const auto page = readRange(replyOf(200, R"({"items":[{"private-key":"a","value":"bm9kZS0x",
        "revision":412,"made":400,"lease":1}],"more":true,"at":530})"));
    REQUIRE(page);
    CHECK(page->content.revision == 530);
    CHECK(page->content.items.front().value == "node-1");
    CHECK(page->content.items.front().createRevision == 400);
    CHECK(page->nextAfter == "a");
    const auto changes = readWatch(replyOf(200, R"({"events":[{"private-key":"a","value":"",
        "revision":413,"made":413,"lease":0},{"private-key":"b","revision":414,"gone":true}],
        "at":414})"),
                                   412);
    REQUIRE(changes);
    CHECK(changes->since == 412);
    CHECK(changes->items[0].value == "");
    CHECK_FALSE(changes->items[1].value);
}

TEST_CASE("store: failed calls give their reason [platform][bad-input]")
{
    CHECK(readWatch(replyOf(410, ""), 1).error() == StoreFailure::HistoryLost);
    CHECK(readWatch(replyOf(503, ""), 1).error() == StoreFailure::Refused);
    CHECK(readWatch(replyOf(200, "{"), 1).error() == StoreFailure::Malformed);
    CHECK(readWatch(tl::unexpected(node::HttpFailure::NoAnswer), 1).error()
          == StoreFailure::NoAnswer);
    CHECK(readRange(replyOf(200, R"({"items":[{"private-key":"a","value":"*","revision":1,
        "made":1}],"at":1})"))
              .error()
          == StoreFailure::Malformed);
}

TEST_CASE("store: a write without an answer may have been executed; an unsent one was not "
          "[platform][lost-reply]")
{
    CHECK(readPut(replyOf(200, R"({"revision":9})")).result == WriteResult::Done);
    CHECK(readPut(replyOf(200, R"({"revision":9})")).revision == 9);
    CHECK(readPut(replyOf(412, "{}")).result == WriteResult::ConditionFailed);
    CHECK(readPut(replyOf(404, "")).result == WriteResult::LeaseExpired);
    CHECK(readPut(replyOf(503, "")).result == WriteResult::Refused);
    CHECK(readPut(replyOf(200, "?")).result == WriteResult::Unknown);
    CHECK(readPut(tl::unexpected(node::HttpFailure::NoAnswer)).result == WriteResult::Unknown);
    CHECK(readPut(tl::unexpected(node::HttpFailure::NotSent)).result == WriteResult::Refused);
}

TEST_CASE("store: values of any bytes are decoded as they were encoded [platform]")
{
    for (std::size_t n = 0; n < 9; ++n) {
        const std::string value = std::string("\0\xff\x80", 3).append(n, 'x');
        const std::string body = putCall("k", value, 3, true).body;
        const std::size_t at = body.find(R"("value":")") + 9;
        const std::string encoded = body.substr(at, body.find('"', at) - at);
        const auto page
            = readRange(replyOf(200, R"({"items":[{"private-key":"k","value":")" + encoded
                                         + R"(","revision":1,"made":1}],"at":1})"));
        REQUIRE(page);
        CHECK(page->content.items.front().value == value);
    }
}

TEST_CASE("engines: reports, orders and the events of context stores [platform]")
{
    const auto report = readReport(replyOf(200, R"({"models":[{"name":"m","version":2}],
        "busy":true,"sequence":3})"));
    REQUIRE(report);
    CHECK(report->busy);
    CHECK(report->ordersTaken == 3);
    CHECK_FALSE(readReport(replyOf(503, "")));
    CHECK(readOrder(replyOf(202, "")) == OrderResult::Accepted);
    CHECK(readOrder(replyOf(409, "")) == OrderResult::Conflict);
    CHECK(readOrder(replyOf(412, "")) == OrderResult::Fenced);
    CHECK(readOrder(replyOf(421, "")) == OrderResult::Refused);
    CHECK(readOrder(tl::unexpected(node::HttpFailure::NoAnswer)) == OrderResult::Unknown);
    const auto events = readStoreEvents(replyOf(200, R"({"epoch":77,"next-token":120,"lost":false,
        "clock_ms":5000,"events":[[119,"+","s1","5c1e",800,"m"],[120,"-","s1","91bd",128,"m"]]})"),
                                        "store");
    REQUIRE(events);
    CHECK(events->cursor.next == 120);
    CHECK(events->update.clock == 5s);
    REQUIRE(events->update.changes.size() == 2);
    CHECK(events->update.changes[0].held);
    CHECK_FALSE(events->update.changes[1].held);
    const auto list = readStoreList(replyOf(200, R"({"epoch":77,"next-token":5,
        "held":[["s1","5c1e",800,"m"]]})"),
                                    "store");
    REQUIRE(list);
    CHECK(list->update.isSnapshot);
}

TEST_CASE("refusals: only a request that has not run gets a status that means so [not-run]")
{
    for (const ReasonInfo &it : kReasons) {
        INFO(it.name);
        Verdict verdict = Verdict::of(it.reason, {}, 250ms);
        verdict.state = RunState::MayHaveRun;
        const node::Refusal unsure = node::makeRefusal(verdict);
        CHECK(unsure.head.result_int() != 503);
        CHECK(unsure.head.find("Retry-After") == unsure.head.end());
        verdict.state = RunState::NotRun;
        const node::Refusal refusal = node::makeRefusal(verdict);
        CHECK(refusal.head.result_int() != 502);
        CHECK(refusal.head.result_int() != 504);
        if (refusal.head.result_int() == 503)
            CHECK(std::string(refusal.head["Retry-After"]) == "0.250");
    }
}

TEST_CASE("peers: messages are decoded as they were encoded; other bytes are rejected "
          "[peers][bad-input]")
{
    node::Gossip message;
    message.node = "a";
    message.replicaAddress = "10.0.0.1:1";
    message.version = {3, 12};
    message.storeReachable = true;
    message.failureDomain = "d";
    message.gossipAddress = "10.0.0.1:2";
    message.scope = node::LoadScope::Fleet;
    message.load.nodes = 7;
    message.load.loads = {{"e", {1, 2, 3}}, {"f", {4, 5, 6}}};
    message.load.shortContextTokens = 9;
    message.load.contextsSent = {1, 0xffffffffffffffffULL};
    message.reportNumber = 5;
    message.reportNumbers = {{stableHash("b"), 4}};
    message.orders.lastOrder = 250ms;
    message.orders.enginesLoading = {"e"};
    message.orders.observedVersions["e"]["m"] = {2, 700ms};
    message.forwardedOrders["b"] = {30ms, 20ms, {"f"}, {}};
    message.getsStoreChanges = true;
    message.namingAges["m"] = {{2, {800ms, 1'200ms, 1}}, {3, {20ms, std::nullopt}}};
    message.copyAge = 90ms;
    message.forwardedCopyAge = 70ms;
    message.quarantineUpdates = {{{1, UINT64_MAX}, 3}, {{4, 5}, {}}};
    message.limits
        = {{UINT64_MAX, 2, 3.2, 1500ms, {{8, 9}, {UINT64_MAX, 11}}}, {6, 3, 0.0, 0ms, {}}};
    message.draining = {"i-1/5"};
    message.isRelay = true;
    message.strength = 12.5;
    const auto read = node::decodeGossip(node::encodeGossip(message));
    REQUIRE(read);
    CHECK(read->failureDomain == "d");
    CHECK(read->version == message.version);
    CHECK(read->gossipAddress == "10.0.0.1:2");
    CHECK(read->scope == node::LoadScope::Fleet);
    CHECK(read->load == message.load);
    CHECK(read->reportNumber == 5);
    CHECK(read->reportNumbers == message.reportNumbers);
    CHECK(read->getsStoreChanges);
    CHECK(read->isRelay);
    CHECK(read->strength == 12.5);
    CHECK_FALSE(read->followsContext);
    CHECK(read->orders.lastOrder == message.orders.lastOrder);
    CHECK(read->orders.enginesLoading == message.orders.enginesLoading);
    CHECK(read->orders.observedVersions == message.orders.observedVersions);
    REQUIRE(read->forwardedOrders.contains("b"));
    CHECK(read->forwardedOrders.at("b").age == 30ms);
    CHECK(read->forwardedOrders.at("b").lastOrder == 20ms);
    CHECK(read->forwardedOrders.at("b").enginesLoading == std::set<std::string>{"f"});
    CHECK(read->namingAges == message.namingAges);
    CHECK(read->copyAge == message.copyAge);
    CHECK(read->forwardedCopyAge == message.forwardedCopyAge);
    CHECK(read->quarantineUpdates == message.quarantineUpdates);
    CHECK(read->limits == message.limits);
    CHECK(read->draining == message.draining);
    CHECK_FALSE(node::decodeGossip("no message"));
    CHECK_FALSE(node::decodeGossip(""));
    const std::string whole = node::encodeGossip(message);
    for (std::size_t n = 0; n < whole.size(); ++n)
        CHECK_FALSE(node::decodeGossip(whole.substr(0, n)));

    node::ReplicaPart part;
    part.mayBeExpiry = true;
    part.changes = {3, 9, {{"a", 4, 4, std::string("\0x", 2)}, {"b", 9, 0, std::nullopt}}, 2};
    const auto readPart = node::decodeReplicaPart(node::encodeReplicaPart(part));
    REQUIRE(readPart);
    CHECK(readPart->changes.items == part.changes.items);
    CHECK(readPart->changes.version() == StoreVersion{2, 9});
    CHECK(readPart->mayBeExpiry);
}

// Guards against relays whose links are full of lists of names: their nodes lost messages and
// counted each other as gone and back several times a second.
TEST_CASE("messages: the numbers of the reports in a sum take little space [messages][size]")
{
    constexpr std::size_t kNodes = 160;
    constexpr std::size_t kMostBytesPerNode = 14; // a hash and a number of minutes of reports
    node::Gossip message;
    message.node = "relay";
    const std::size_t without = node::encodeGossip(message).size();
    for (std::size_t n = 0; n < kNodes; ++n)
        message.reportNumbers.emplace_back(stableHash("front-hall-" + std::to_string(n)),
                                           5'000 + n);
    const std::string bytes = node::encodeGossip(message);
    CHECK(bytes.size() - without <= kNodes * kMostBytesPerNode);
    CHECK(node::decodeGossip(bytes)->reportNumbers == message.reportNumbers);
}

TEST_CASE("messages: report numbers by name, from nodes of an earlier version, are understood "
          "[messages]")
{
    node::Gossip message;
    message.node = "relay";
    auto object = nlohmann::json::from_cbor(node::encodeGossip(message));
    object["numbers"] = {{"a", 7}, {"b", 8}};
    const auto read = node::decodeGossip(node::encodeCbor(object));
    REQUIRE(read);
    CHECK(findReportNumber(read->reportNumbers, "b") == 8);
}

TEST_CASE("peers: context updates of relays are decoded as they were encoded; other bytes are "
          "rejected [relays][bad-input]")
{
    const std::vector<ContextStorePosition> positions{{1, 2, 3}, {0xffffffffffffffffULL, 0, 0}};
    const auto parsed = node::parseContextUpdatesTarget(node::contextUpdatesTarget(positions));
    REQUIRE(parsed);
    REQUIRE(parsed->size() == 2);
    CHECK((*parsed)[0].epoch == 2);
    CHECK((*parsed)[0].next == 3);
    CHECK((*parsed)[1].store == 0xffffffffffffffffULL);
    CHECK(node::parseContextUpdatesTarget(node::contextUpdatesTarget({}))->empty());
    for (const char *bad : {"/", "/replica?since=1", "/contexts?since=1", "/contexts?since=1.2.3",
                            "/contexts?since=1.2.x,", "/contexts?since=-1.2.3,"})
        CHECK_FALSE(node::parseContextUpdatesTarget(bad));

    ContextStoreUpdate update;
    update.store = "s";
    update.epoch = 5;
    update.next = 9;
    update.age = 120ms;
    update.clock = 77ms;
    update.isSnapshot = true;
    update.changes = {{"salt", "a", true, 100}, {"salt", "b", false, 0}, {"other", "a", true, 1}};
    const std::string bytes = node::encodeContextUpdates({update});
    const auto read = node::decodeContextUpdates(bytes);
    REQUIRE(read);
    REQUIRE(read->size() == 1);
    CHECK(read->front().next == 9);
    CHECK(read->front().age == 120ms);
    CHECK(read->front().clock == 77ms);
    CHECK(read->front().isSnapshot);
    REQUIRE(read->front().changes.size() == 3);
    CHECK_FALSE(read->front().changes[1].held);
    CHECK(read->front().changes[2].salt == "other");
    for (std::size_t n = 0; n < bytes.size(); ++n)
        CHECK_FALSE(node::decodeContextUpdates(bytes.substr(0, n)));
}

// Guards against nodes that end: the library reads each level of nesting in a call of its own.
TEST_CASE("bad input: deeply nested messages and values of nodes are rejected "
          "[messages][bad-input]")
{
    constexpr std::size_t kDepth = 1'000'000;
    const std::string array(1, '\x81'); // of one element
    const std::string indefinite(1, '\x9f');
    const std::string text(1, '\x7f'); // of parts
    const std::string object = "\xa1\x61"
                               "a"; // with one member
    for (const std::string &level : {array, indefinite, text, object}) {
        std::string bytes;
        for (std::size_t n = 0; n < kDepth; ++n)
            bytes += level;
        CHECK_FALSE(node::decodePeerAddress(bytes));
        CHECK_FALSE(node::decodeGossip(bytes));
        CHECK_FALSE(node::decodeReplicaPart(bytes));
        CHECK_FALSE(node::decodeContextUpdates(bytes));
        CHECK_FALSE(node::decodePlacement(bytes));
        CHECK_FALSE(node::decodePlaceMessage(bytes));
        CHECK_FALSE(node::decodeStreamMessage(bytes));
        CHECK_FALSE(node::decodeSource(bytes));
        CHECK_FALSE(node::QuarantineDistributor::decodeInstances(bytes));
    }
}

// Guards against ranks of nodes that have no order, which an algorithm that sorts does not survive,
// and against undefined conversions.
TEST_CASE("bad input: numbers of peers that are not finite or of another type are rejected "
          "[messages][bad-input]")
{
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const double infinity = std::numeric_limits<double>::infinity();
    auto address = Json::from_cbor(node::encodePeerAddress({"10.0.0.1:1", "10.0.0.1:2", "z", 1.0}));
    for (const Json &it : {Json(nan), Json(infinity), Json(1e300), Json(-1.0), Json("1")}) {
        address["strength"] = it;
        CHECK_FALSE(node::decodePeerAddress(node::encodeCbor(address)));
    }
    node::Gossip message;
    message.node = "n";
    message.strength = 1.0;
    message.reportNumber = 1;
    message.version = {1, 1};
    message.orders.age = 1ms;
    message.orders.lastOrder = 1ms;
    message.orders.observedVersions["i-1"]["m"] = {1, 1ms};
    message.namingAges["m"][2] = {30ms, 40ms, 1};
    message.copyAge = 1ms;
    message.quarantineUpdates = {{{1, 2}, 3}};
    message.limits = {{7, 2, 3.0, 1s, {{8, 9}}}};
    message.load.loads = UpstreamLoads({{"i-1", {1, 2, 3}}});
    message.load.contextsSent = {1};
    const Json fields = Json::from_cbor(node::encodeGossip(message));
    for (const char *field :
         {"/strength",        "/number",       "/epoch",          "/revision",
          "/scope",           "/orders/age",   "/orders/ordered", "/orders/seen/0/2",
          "/orders/seen/0/3", "/named/m/0/0",  "/named/m/0/1",    "/named/m/0/3",
          "/whole",           "/requests/0/0", "/requests/0/2",   "/limits/0/0",
          "/limits/0/1",      "/limits/0/2",   "/limits/0/3",     "/limits/0/4/1",
          "/load/nodes",      "/load/at/0",    "/load/at/1",      "/load/short",
          "/load/contexts/0"}) {
        CAPTURE(field);
        REQUIRE(fields.contains(Json::json_pointer(field)));
        for (const Json &it : {Json(nan), Json(infinity), Json(1e300), Json(true), Json("1")}) {
            Json odd = fields;
            odd[Json::json_pointer(field)] = it;
            CHECK_FALSE(node::decodeGossip(node::encodeCbor(odd)));
        }
    }
    node::ReplicaPart part;
    part.changes = {0, 9, {{"a", 9, 9, "{}"}}};
    const Json replica = Json::from_cbor(node::encodeReplicaPart(part));
    for (const char *field : {"/since", "/revision", "/epoch", "/items/0/1", "/items/0/2"}) {
        Json odd = replica;
        odd[Json::json_pointer(field)] = 1e300;
        CHECK_FALSE(node::decodeReplicaPart(node::encodeCbor(odd)));
    }
}

TEST_CASE("bad input: times of peers beyond any use are shortened, so that they can be added to a "
          "clock [messages][bad-input]")
{
    node::Gossip message;
    message.node = "n";
    message.orders.age = 1ms;
    message.orders.lastOrder = 1ms;
    Json fields = Json::from_cbor(node::encodeGossip(message));
    fields["orders"]["age"] = INT64_MAX;
    fields["orders"]["ordered"] = INT64_MAX;
    const auto read = node::decodeGossip(node::encodeCbor(fields));
    REQUIRE(read);
    CHECK(read->orders.age <= 24h);
    CHECK(*read->orders.lastOrder <= 24h);
}

// Guards against undefined conversions and against a lease of the longest time that overflows when
// it is added to a clock.
TEST_CASE("bad input: answers of the store and of engines with numbers out of range are not read "
          "[platform][bad-input]")
{
    for (const char *it : {"-1", "1e300", "99999999999999999999", "1.5", "true", "null", "\"1\""}) {
        CAPTURE(it);
        const std::string n = it;
        const std::string items
            = R"({"at":1,"items":[{"private-key":"a","value":"","made":1,"revision":)" + n + "}]}";
        CHECK_FALSE(readRange(replyOf(200, R"({"items":[],"at":)" + n + "}")));
        CHECK_FALSE(readRange(replyOf(200, items)));
        CHECK_FALSE(readWatch(replyOf(200, R"({"events":[],"at":)" + n + "}"), 0));
        if (n != "1.5") { // a time may have a fraction
            CHECK_FALSE(readGrant(replyOf(200, R"({"lease":1,"ttl_ms":)" + n + "}")));
            CHECK_FALSE(readRenewal(replyOf(200, R"({"ttl_ms":)" + n + "}")));
        }
        CHECK_FALSE(readGrant(replyOf(200, R"({"ttl_ms":1,"lease":)" + n + "}")));
        CHECK(readPut(replyOf(200, R"({"revision":)" + n + "}")).result != WriteResult::Done);
        CHECK_FALSE(readReport(replyOf(200, R"({"models":[{"name":"m","version":)" + n + "}]}")));
        CHECK_FALSE(readReport(replyOf(200, R"({"models":[],"sequence":)" + n + "}")));
        CHECK_FALSE(readStoreEvents(
            replyOf(200, R"({"epoch":1,"events":[],"next-token":)" + n + "}"), "k"));
        CHECK_FALSE(readStoreEvents(
            replyOf(200, R"({"epoch":1,"next-token":1,"events":[[1,"+","s","p",)" + n + "]]}"),
            "k"));
    }
    CHECK_FALSE(readRenewal(replyOf(200, R"({"ttl_ms":9223372036854775807})")));
    CHECK_FALSE(readStoreList(
        replyOf(200, R"({"epoch":1,"next-token":1,"clock_ms":1e300,"held":[]})"), "k"));
    CHECK(readStoreList(replyOf(200, R"({"epoch":1,"next-token":1,"clock_ms":1.8e12,"held":[]})"),
                        "k"));
}

// Guards against an exception on the node's thread: peers encode texts without a check of UTF-8.
TEST_CASE("bad input: a call with a text that is not UTF-8 can be made [platform][bad-input]")
{
    FreePartsCall action;
    action.parts = {{"salt", "\xff\xfe"}};
    CHECK_NOTHROW(freeCall("10.0.0.1:80", action, 1s));
    CHECK_NOTHROW(putCall("\xff", "value", 1, true));
    OrderWeights order;
    order.model = "\xff";
    CHECK_NOTHROW(orderCall(order, "holder"));
}
