// SPDX-License-Identifier: MIT
// Tests how DocumentReader handles entries that are written by a restarted upstream or by another
// writer, or that cannot be parsed.
#include "node/document_reader.hpp"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "fordwood/manual_clock.hpp"
#include "fordwood/upstream_directory.hpp"
#include "node/quarantine_distributor.hpp"
#include "platform/document_order.hpp"
#include "platform/documents.hpp"

using namespace fordwood;
using namespace fordwood::node;
using Json = nlohmann::json;

namespace {

// Keeps a directory of upstreams and the evacuated failure domains.
class Listener : public DocumentListener
{
public:
    void onConfiguration(ServingConfig config) override { applied.push_back(config.version); }
    void onWeightVersion(const std::string & /*model*/, std::uint64_t version) override
    {
        lastNamed = version;
    }
    void onUpstreamRecord(UpstreamRecord record) override { upstreams.put(std::move(record)); }
    void onUpstreamRemoved(const std::string &instanceId, bool mayBeExpiry) override
    {
        upstreams.remove(instanceId, mayBeExpiry);
    }
    void onEvacuation(const std::string &failureDomain, bool isEvacuated) override
    {
        upstreams.setEvacuated(failureDomain, isEvacuated);
    }
    void onNodeAddress(const std::string & /*node*/, const PeerAddress & /*address*/) override { }
    void onNodeRemoved(const std::string & /*node*/) override { }
    void onQuarantinedRequest(const RequestFingerprint &request,
                              const std::vector<std::uint64_t> & /*instances*/) override
    {
        held.push_back(request);
    }

    std::vector<std::string> usable() const
    {
        std::vector<std::string> ids;
        for (const UpstreamRecord *it : upstreams.usable("s"))
            ids.push_back(it->instanceId);
        return ids;
    }

    ManualClock clock;
    UpstreamDirectory upstreams{clock, {}};
    std::vector<std::uint64_t> applied; // versions of configurations
    std::uint64_t lastNamed = 0;
    std::vector<RequestFingerprint> held;
};

// Passes entries to the reader one by one, at increasing revisions.
class Entries
{
public:
    void write(const std::string &key, const std::optional<std::string> &value)
    {
        m_reader.read({key, ++m_revision, 1, value}, false);
    }

    void expire(const std::string &key) { m_reader.read({key, ++m_revision, 1, {}}, true); }

    // `startedAt`: nullopt leaves the field out of the entry.
    void upstream(const std::string &id, const std::optional<std::int64_t> &startedAt,
                  std::uint64_t weights = 1)
    {
        Json record{{"service", "s"}, {"address", "10.0.0.2:80"},
                    {"zone", "z"},    {"version", "v1"},
                    {"slots", 32},    {"state", "ready"},
                    {"sequence", 4},  {"cold-remaining-ms", 0}};
        record["models"] = Json::array({{{"name", "m"}, {"version", weights}}});
        if (startedAt)
            record["born"] = *startedAt;
        write("servers/" + id, record.dump());
    }

    std::size_t rejected() const
    {
        const std::string text = "\n" + m_metrics.text();
        const std::string name = "\nfordwood_stored_values_refused_total ";
        const std::size_t at = text.find(name);
        return at == std::string::npos ? 0 : std::stoul(text.substr(at + name.size()));
    }

    Listener listener;

private:
    adapters::Metrics m_metrics;
    DocumentReader m_reader{m_metrics, listener};
    std::int64_t m_revision = 0;
};

using Ids = std::vector<std::string>;

} // namespace

TEST_CASE("entries: an upstream that restarts under its id is a new instance with its own weights "
          "[entries][restart]")
{
    Entries entries;
    entries.upstream("i", 1'000, 1);
    entries.listener.upstreams.setWeightVersion("i@1000", "m", {5, entries.listener.clock.now()});
    entries.upstream("i", 2'000, 1);
    CHECK(entries.listener.usable() == Ids{"i@2000"});
    CHECK(entries.listener.upstreams.find("i@1000") == nullptr);
    CHECK(entries.listener.upstreams.find("i@2000")->weightVersions.at("m") == 1);
    SUBCASE("a late entry of the earlier instance changes nothing")
    {
        entries.upstream("i", 1'000, 9);
        CHECK(entries.listener.usable() == Ids{"i@2000"});
        CHECK(entries.rejected() == 1);
    }
    SUBCASE("one that expires and returns while the store is unreachable is the same instance")
    {
        entries.listener.upstreams.setStoreReachable(false);
        entries.expire("servers/i");
        CHECK(entries.listener.usable() == Ids{"i@2000"});
        entries.upstream("i", 2'000);
        CHECK(entries.listener.usable() == Ids{"i@2000"});
    }
    SUBCASE("one that expires while the store is unreachable and restarts is a new instance")
    {
        entries.listener.upstreams.setStoreReachable(false);
        entries.expire("servers/i");
        entries.upstream("i", 3'000);
        CHECK(entries.listener.usable() == Ids{"i@3000"});
    }
}

TEST_CASE(
    "entries: one that cannot be parsed removes its upstream and no other [entries][bad-input]")
{
    Entries entries;
    entries.upstream("a", 1'000);
    entries.upstream("b", 1'000);
    entries.write("servers/a", "\xff\xfe nonsense");
    CHECK(entries.listener.usable() == Ids{"b@1000"});
    CHECK(entries.rejected() == 1);
    entries.upstream("a", 1'000); // the upstream rewrites its entry
    CHECK(entries.listener.usable() == Ids{"a@1000", "b@1000"});
    entries.upstream("b", std::nullopt); // its entry had a start time before
    CHECK(entries.listener.usable() == Ids{"a@1000"});
    CHECK(entries.rejected() == 2);
    entries.upstream("c", std::nullopt); // its entry never had a start time
    CHECK(entries.listener.usable() == Ids{"a@1000", "c"});
    entries.write("servers/a", std::nullopt);
    CHECK(entries.listener.usable() == Ids{"c"});
}

namespace {

// A configuration with all fields, of which one is replaced by the given text.
std::string configurationWith(const std::string &pointer, const std::string &text)
{
    Json config = Json::parse(R"({"version":2,
        "routes":[{"host":"a","path-prefix":"/","kind":"safe","service":"s","resumable":false,
                   "public":false,"max-attempts":1,"timeout-ms":1,"target-latency-ms":1,
                   "gap_aim_ms":1,"priority":1,"allowed-regions":["r"]},
                  {"host":"b","path-prefix":"/","traffic-split":[{"service":"s","weight":1}]}],
        "services":[{"name":"s","max-connections":1,"cold-start-s":1,"cold-per-s":1,
                     "engine":{"slots":1,"kv-cache-tokens":1,"models":[{"name":"m"}],
                               "max-in-flight":1,"kv-token-bytes":1,"bandwidth-mbps":1}},
                    {"name":"k","kv-store-address":"10.0.0.9:80","zone":"z","kv-cache-tokens":1,
                     "managed":true,"max-in-flight":1,"bandwidth-mbps":1,"first_ms":1}],
        "limits":{"max-header-bytes":1,"max-body-bytes":1,"header-timeout-ms":1,
                  "idle-timeout-ms":1},
        "tenants":[{"name":"t","api-keys":["k"],"priority":1,"isolated":true}]})");
    const std::string mark = "the field";
    REQUIRE(config.contains(Json::json_pointer(pointer)));
    config[Json::json_pointer(pointer)] = mark;
    std::string document = config.dump();
    return document.replace(document.find("\"" + mark + "\""), mark.size() + 2, text);
}

const std::vector<std::string> kCounts{"/version",
                                       "/routes/0/max-attempts",
                                       "/routes/0/priority",
                                       "/services/0/max-connections",
                                       "/services/0/engine/slots",
                                       "/services/0/engine/kv-cache-tokens",
                                       "/services/0/engine/max-in-flight",
                                       "/services/1/kv-cache-tokens",
                                       "/services/1/max-in-flight",
                                       "/limits/max-header-bytes",
                                       "/limits/max-body-bytes",
                                       "/tenants/0/priority"};
const std::vector<std::string> kMeasures{"/routes/0/timeout-ms",
                                         "/routes/0/target-latency-ms",
                                         "/routes/0/gap_aim_ms",
                                         "/routes/1/traffic-split/0/weight",
                                         "/services/0/cold-start-s",
                                         "/services/0/cold-per-s",
                                         "/services/0/engine/kv-token-bytes",
                                         "/services/0/engine/bandwidth-mbps",
                                         "/services/1/bandwidth-mbps",
                                         "/services/1/first_ms",
                                         "/limits/header-timeout-ms",
                                         "/limits/idle-timeout-ms"};
const std::vector<std::string> kOthers{"/routes",
                                       "/routes/0",
                                       "/routes/0/public",
                                       "/routes/0/allowed-regions",
                                       "/routes/1/traffic-split",
                                       "/services/0/engine/models",
                                       "/services/1/managed",
                                       "/limits",
                                       "/tenants",
                                       "/tenants/0/api-keys",
                                       "/tenants/0/isolated"};

// The last part of a pointer that is a name.
std::string nameIn(const std::string &pointer)
{
    const std::string name = pointer.substr(pointer.rfind('/') + 1);
    return name == "0" ? nameIn(pointer.substr(0, pointer.rfind('/'))) : name;
}

} // namespace

// Guards against fields that the JSON library converts silently: a version too large for its type
// shuts out all later configurations.
TEST_CASE("entries: a configuration with an odd field is rejected whole, and the next one is "
          "applied [entries][bad-input]")
{
    Entries entries;
    const auto apply = [&](const std::string &pointer, const std::string &text) {
        CAPTURE(pointer);
        CAPTURE(text);
        const std::size_t before = entries.listener.applied.size();
        const std::size_t rejected = entries.rejected();
        entries.write("op/config", configurationWith(pointer, text));
        const bool isApplied = entries.listener.applied.size() > before;
        CHECK(entries.rejected() == rejected + (isApplied ? 0 : 1));
        if (!isApplied) {
            const auto read = platform::readConfiguration(configurationWith(pointer, text));
            CHECK(read.error().problem.find(nameIn(pointer)) != std::string::npos);
        }
        return isApplied;
    };
    const std::vector<std::string> odd{
        "-1", "99999999999999999999", "1e300", "1e19", "true", "\"1\"", "[]", "{}", "null"};
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    for (const auto *fields : {&kCounts, &kMeasures, &kOthers}) {
        for (const std::string &field : *fields) {
            for (const std::string &it : odd) {
                const bool isList = it == "[]" && fields == &kOthers;
                const bool isValid
                    = (it == "{}" && field == "/limits") || (it == "true" && fields == &kOthers);
                if (!isList && !isValid)
                    CHECK_FALSE(apply(field, it));
            }
            CHECK_FALSE(apply(field, deep));
        }
    }
    for (const std::string &it : kCounts)
        CHECK_FALSE(apply(it, "1.5"));
    CHECK_FALSE(apply("/version", "18446744073709551615")); // nothing could follow it
    CHECK_FALSE(apply("/routes/1/traffic-split", "[]"));
    CHECK(entries.listener.applied.empty());
    for (const std::string &it : kCounts)
        CHECK(apply(it, "2.0"));
    for (const std::string &it : kMeasures)
        CHECK(apply(it, "2.5"));
}

// Guards against a node that ends with the first request of the team: the library of heads throws
// on longer fields, and a line break begins another field.
TEST_CASE("entries: names that cannot stand in the head of a request are rejected "
          "[entries][bad-input]")
{
    Entries entries;
    for (const Json &it : {Json(std::string(70'000, 'x')), Json("a\r\nb"), Json("")}) {
        entries.write("op/config", configurationWith("/tenants/0/name", it.dump()));
        entries.upstream(it, 1'000);
    }
    CHECK(entries.rejected() == 6);
    CHECK(entries.listener.applied.empty());
    CHECK(entries.listener.usable().empty());
    entries.write("op/config", configurationWith("/tenants/0/name", "\"\u00e9quipe 1\""));
    CHECK(entries.listener.applied == std::vector<std::uint64_t>{2});
}

TEST_CASE("entries: weights and evacuations that cannot be parsed [entries][bad-input]")
{
    Entries entries;
    entries.upstream("a", 1'000);
    entries.write("op/version/m", R"({"model":"m","version":2})");
    for (const char *it : {R"({"model":"m","version":-3})", R"({"model":"m","version":3.5})",
                           R"({"model":"m","version":"3"})", R"({"model":"","version":3})",
                           R"({"version":3})", "3", ""})
        entries.write("op/version/m", it);
    CHECK(entries.listener.lastNamed == 2);
    CHECK(entries.rejected() == 7);
    entries.write("op/evacuate/z", "\xff"); // the key alone starts the evacuation
    CHECK(entries.listener.usable().empty());
    entries.write("op/evacuate/z", std::nullopt);
    CHECK(entries.listener.usable() == Ids{"a@1000"});
}

TEST_CASE(
    "entries: a quarantined request is reported; a value that cannot be parsed is rejected, and a "
    "removed key releases nothing [entries][quarantine]")
{
    Entries entries;
    const RequestFingerprint request{1, 2};
    const std::string key = QuarantineDistributor::keyOf(request);
    entries.write(key, QuarantineDistributor::encodeInstances({7, 8, 9}));
    CHECK(entries.listener.held == std::vector{request});
    entries.write(key, "nonsense");
    CHECK(entries.rejected() == 1);
    entries.write(key, {});
    entries.write("fordwood/quarantine/nonsense", QuarantineDistributor::encodeInstances({7}));
    CHECK(entries.listener.held.size() == 1);
}

TEST_CASE("documents: which of two states is older if revisions cannot be compared "
          "[restored][bad-input]")
{
    const platform::DocumentOrder order("fordwood/nodes/");
    const auto isOlder = [&](const std::string &key, std::optional<std::string> held,
                             std::optional<std::string> read) {
        return order.isOlder({key, 9, 1, std::move(held)}, {key, 5, 1, std::move(read)});
    };
    const auto weights
        = [](int version) { return R"({"model":"m","version":)" + std::to_string(version) + "}"; };
    const auto upstream = [](const std::string &state, int startedAt) {
        return R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v","slots":1,)"
               R"("cold-remaining-ms":0,"sequence":1,"state":")"
               + state + R"(","born":)" + std::to_string(startedAt) + "}";
    };
    CHECK(isOlder("op/version/m", weights(3), weights(2)));
    CHECK_FALSE(isOlder("op/version/m", weights(2), weights(3)));
    CHECK(isOlder("op/version/m", weights(3), std::nullopt));
    CHECK_FALSE(isOlder("op/version/m", "?", weights(2)));
    CHECK_FALSE(isOlder("op/version/m", weights(2), "?"));
    CHECK(isOlder("op/evacuate/z", "", std::nullopt));
    CHECK_FALSE(isOlder("op/evacuate/z", std::nullopt, ""));
    CHECK(isOlder("servers/a", upstream("draining", 1), upstream("ready", 1)));
    CHECK_FALSE(isOlder("servers/a", upstream("draining", 1), upstream("ready", 2)));
    CHECK(isOlder("servers/a", upstream("ready", 2), upstream("draining", 1)));
    CHECK_FALSE(isOlder("servers/a", upstream("ready", 1), std::nullopt));
    CHECK(isOlder("servers/a", std::nullopt, upstream("ready", 1)));
    CHECK_FALSE(isOlder("servers/a", "?", upstream("ready", 1)));
    CHECK(isOlder("fordwood/nodes/n1", "x", std::nullopt));
    CHECK_FALSE(isOlder("fordwood/weights-lock", "x", std::nullopt));
}
