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

using namespace fordwood;
using namespace fordwood::node;
using Json = nlohmann::json;

namespace {

// Keeps a directory of upstreams and the evacuated failure domains.
class Listener : public DocumentListener
{
public:
    void onConfiguration(ServingConfig /*config*/) override { }
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
