// SPDX-License-Identifier: MIT
// Decoders of the platform's store documents, of answers and of messages between nodes accept or
// reject any input, and their results stay valid for their types.
#include <doctest/doctest.h>

#include <functional>
#include <random>

#include "node/context_messages.hpp"
#include "node/net.hpp"
#include "node/peer_messages.hpp"
#include "node/place_messages.hpp"
#include "node/placement_messages.hpp"
#include "node/quarantine_distributor.hpp"
#include "platform/caller_messages.hpp"
#include "platform/documents.hpp"
#include "platform/engine_calls.hpp"
#include "platform/store_calls.hpp"
#include "support/placement_examples.hpp"

using namespace fordwood;
using namespace fordwood::platform;

namespace {

// Makes small changes to texts: replaces bytes, removes or duplicates pieces, inserts JSON tokens.
class Mutator
{
public:
    explicit Mutator(unsigned seed) : m_random(seed) { }

    std::string operator()(std::string text)
    {
        const std::size_t changes = 1 + below(4);
        for (std::size_t n = 0; n < changes; ++n)
            change(text);
        return text;
    }

private:
    std::size_t below(std::size_t n) { return m_random() % std::max<std::size_t>(n, 1); }

    void change(std::string &text)
    {
        static const std::vector<std::string> kWords{"null",
                                                     "-1",
                                                     "1e300",
                                                     "18446744073709551616",
                                                     "0.5",
                                                     "\"\"",
                                                     "[]",
                                                     "{}",
                                                     "true",
                                                     std::string("\0", 1),
                                                     "\xff\xfe",
                                                     "\"ready\"",
                                                     "99999999999999999999999",
                                                     ",",
                                                     ":",
                                                     "["};
        const std::size_t at = below(text.size());
        const std::size_t length = below(std::min<std::size_t>(24, text.size() - at) + 1);
        switch (below(5)) {
        case 0:
            if (!text.empty())
                text[at] = static_cast<char>(m_random());
            return;
        case 1:
            text.erase(at, length);
            return;
        case 2:
            text.insert(at, text.substr(at, length));
            return;
        case 3:
            replaceValue(text, kWords[below(kWords.size())]);
            return;
        default:
            text.insert(at, kWords[below(kWords.size())]);
            return;
        }
    }

    // Replaces the value after a random colon with the given token.
    void replaceValue(std::string &text, const std::string &word)
    {
        const std::size_t colon = text.find(':', below(text.size()));
        if (colon == std::string::npos)
            return;
        const std::size_t end = std::min(text.find_first_of(",}]", colon), text.size());
        text.replace(colon + 1, end - colon - 1, word);
    }

    std::mt19937 m_random;
};

// Passes `kRounds` mutations of each example to the decoder, which returns whether it accepted the
// input. Returns the number of accepted inputs.
std::size_t feed(const std::vector<std::string> &examples, unsigned seed,
                 const std::function<bool(const std::string &)> &decode)
{
    constexpr int kRounds = 4'000;
    Mutator mutate(seed);
    std::size_t read = 0;
    for (const std::string &example : examples) {
        REQUIRE(decode(example));
        for (int n = 0; n < kRounds; ++n)
            read += decode(mutate(example)) ? 1 : 0;
    }
    return read;
}

node::HttpResult replyOf(const std::string &body)
{
    return node::HttpReply{200, body};
}

const std::string kRecord
    = R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":12,"state":"ready",)"
      R"("cold-remaining-ms":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],)"
      R"("sequence":4,"born":1796000000000})";

const std::string kConfiguration
    = R"({"version":7,"routes":[{"name":"r","host":"a","path-prefix":"/p/","kind":"streaming",)"
      R"("timeout-ms":8000,"target-latency-ms":800,"gap_aim_ms":250,"priority":1,)"
      R"("traffic-split":[{"service":"s","weight":90}],"max-attempts":2,"resumable":true}],"services":[{"name":"s",)"
      R"("max-connections":590,"cold-start-s":3.0,"cold-per-s":14.0,"engine":{"slots":12,)"
      R"("kv-cache-tokens":86792,"models":[{"name":"m"}]}},{"name":"k","zone":"z",)"
      R"("kv-store-address":"10.0.0.1:80","managed":true}],"limits":{"max-header-bytes":16384},)"
      R"("tenants":[{"name":"t","api-keys":["k1"],"priority":1}]})";

} // namespace

TEST_CASE("fuzz: documents of the platform's store [fuzz][bad-input]")
{
    feed({kConfiguration}, 1, [](const std::string &it) { return !!readConfiguration(it); });
    feed({R"({"model":"m","version":2})"}, 2, [](const std::string &it) {
        const auto named = readWeightVersion(it);
        CHECK((!named || !named->model.empty()));
        return !!named;
    });
    const std::size_t read = feed({kRecord}, 3, [](const std::string &it) {
        const auto record = readUpstream("servers/i-1", it);
        if (!record)
            return false;
        CHECK_FALSE(record->service.empty());
        CHECK_FALSE(record->failureDomain.empty());
        CHECK(node::parseEndpoint<node::tcp>(record->address));
        CHECK(record->coldFor.count() >= 0);
        return true;
    });
    CHECK(read > 0); // some mutations remain valid
}

TEST_CASE("fuzz: answers of the platform's store [fuzz][bad-input]")
{
    feed(
        {R"({"items":[{"private-key":"a","value":"bm9kZS0x","revision":412,"made":400,"lease":1}],)"
         R"("more":true,"at":530})"},
        4, [](const std::string &it) { return !!readRange(replyOf(it)); });
    feed(
        {R"({"events":[{"private-key":"a","value":"bm9kZS0x","revision":412,"made":412,"lease":7},)"
         R"({"private-key":"b","revision":413,"gone":true}],"at":413})"},
        5, [](const std::string &it) { return !!readWatch(replyOf(it), 411); });
    feed({R"({"lease":77120,"ttl_ms":3000})"}, 6,
         [](const std::string &it) { return readGrant(replyOf(it)) && readRenewal(replyOf(it)); });
    feed({R"({"revision":9})"}, 7,
         [](const std::string &it) { return readPut(replyOf(it)).result == WriteResult::Done; });
}

TEST_CASE("fuzz: reports of engines and events of stores [fuzz][bad-input]")
{
    feed({R"({"stage":"both","models":[{"name":"m","version":1}],"busy":false,"sequence":2})"}, 8,
         [](const std::string &it) { return !!readReport(replyOf(it)); });
    feed(
        {R"({"epoch":7,"next-token":120,"lost":false,"clock_ms":12.5,"events":[[119,"+","s1","5c1e",)"
         R"(800,"m"],[120,"-","s1","91bd",128,"m"]]})"},
        9, [](const std::string &it) { return !!readStoreEvents(replyOf(it), "k"); });
    feed({R"({"epoch":7,"next-token":120,"held":[["s1","5c1e",800,"m"]]})"}, 10,
         [](const std::string &it) { return !!readStoreList(replyOf(it), "k"); });
}

TEST_CASE("fuzz: heads of callers and upstreams [fuzz][bad-input]")
{
    const auto readHeads = [](const std::string &it) {
        Fields fields;
        for (const char *name : {"Request-Id", "Request-Deadline", "Token-Usage", "Prompt-Prefix",
                                 "Last-Event-Id", "Keep-Alive", "Model"})
            fields.set(name, it);
        readAnswerHead(200, fields);
        const CallerHead head = readCallerHead(fields);
        return !it.empty() && head.prompt.has_value();
    };
    CHECK(feed({"5c1e07a2:800,91bd3f06:410", "1460,80", "timeout=7, max=5"}, 11, readHeads) > 0);
}

TEST_CASE("fuzz: messages between nodes [fuzz][bad-input]")
{
    node::Gossip gossip;
    gossip.node = "n";
    gossip.namingAges["m"][2] = {std::chrono::milliseconds(30), std::chrono::milliseconds(40), 1};
    gossip.copyAge = std::chrono::milliseconds(50);
    gossip.forwardedCopyAge = std::chrono::milliseconds(60);
    gossip.orders.enginesLoading = {"i-1"};
    gossip.quarantineUpdates = {{{1, 2}, 3}, {{4, 5}, {}}, {{6, 7, true}, 8}};
    gossip.brittle = {{7, 2, 3.0, std::chrono::seconds(1), {}}};
    gossip.limits = {{7, 2, 3.2, std::chrono::seconds(1), {{8, 9}, {10, 11}}}};
    gossip.load.loads = UpstreamLoads({{"i-1", {1, 2, 3}}});
    feed({node::encodeGossip(gossip)}, 12,
         [](const std::string &it) { return !!node::decodeGossip(it); });
    node::ReplicaPart part;
    part.changes = {0, 9, {{"op/evacuate/z", 9, 9, "{}"}, {"b", 8, 1, std::nullopt}}};
    feed({node::encodeReplicaPart(part)}, 13,
         [](const std::string &it) { return !!node::decodeReplicaPart(it); });
    feed({node::QuarantineDistributor::encodeInstances({1, UINT64_MAX})}, 15,
         [](const std::string &it) { return !!node::QuarantineDistributor::decodeInstances(it); });
    feed({node::encodePeerAddress({"10.0.0.1:1", "10.0.0.1:2", "z", 1.0})}, 14,
         [](const std::string &it) { return !!node::decodePeerAddress(it); });
}

TEST_CASE("fuzz: messages on places at brittle upstreams [fuzz][bad-input][brittle]")
{
    const node::PlaceGroup group{"s", {2, 1}};
    const std::vector<std::string> examples{
        node::encodePlaceMessage(node::PlaceAsk{
            group, {{1, 2}, {7, 8}, std::chrono::milliseconds(9), std::chrono::seconds(4)}}),
        node::encodePlaceMessage(PlaceReply{5, 7, std::chrono::milliseconds(250)}),
        node::encodePlaceMessage(node::PlaceReturn{group, {1, 2}, true}),
        node::encodePlaceMessage(node::PlaceStatus{group, {1, {2, 3}, {{7, 4}}}})};
    const std::size_t read = feed(examples, 17, [](const std::string &it) {
        const auto message = node::decodePlaceMessage(it);
        if (!message)
            return false;
        if (const auto *ask = std::get_if<node::PlaceAsk>(&*message))
            CHECK(ask->group.shard.index < ask->group.shard.count);
        // What was read can be sent on.
        CHECK(node::decodePlaceMessage(node::encodePlaceMessage(*message)));
        return true;
    });
    CHECK(read > 0); // some mutations remain valid
}

TEST_CASE("fuzz: placement messages [fuzz][bad-input][placement]")
{
    std::vector<std::string> examples;
    for (const node::PlacementMessage &it : node::placementExamples())
        examples.push_back(node::encodePlacement(it));
    const std::size_t read = feed(examples, 16, [](const std::string &it) {
        const auto message = node::decodePlacement(it);
        if (!message)
            return false;
        if (const auto *request = std::get_if<node::PlacementRequest>(&*message)) {
            CHECK(request->shard.index < request->shard.count);
            CHECK(request->remaining >= std::chrono::milliseconds(0));
            CHECK(request->remaining <= std::chrono::hours(24));
        }
        if (const auto *reply = std::get_if<node::PlacementReply>(&*message)) {
            CHECK(reply->outcome <= node::PlacementOutcome::Unavailable);
            CHECK(reply->retryAfter >= std::chrono::milliseconds(0));
        }
        // What was read can be sent on.
        CHECK(node::decodePlacement(node::encodePlacement(*message)));
        return true;
    });
    CHECK(read > 0); // some mutations remain valid
}
