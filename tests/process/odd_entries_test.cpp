// SPDX-License-Identifier: MIT
// Entries of another writer in the platform's store, which must neither end a node nor keep it from
// later entries.
#include <algorithm>

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "process/node_deployment.hpp"

using namespace fordwood::process;
using Json = nlohmann::json;

namespace {

// A configuration without routes and with a version that is too large for any integer type.
std::string hugeVersion()
{
    Json config = Deployment::configuration(2);
    config["routes"] = Json::array();
    std::string text = config.dump();
    const std::string version = R"("version":2)";
    return text.replace(text.find(version), version.size(), R"("version":99999999999999999999)");
}

// Writes an entry and waits until the first node logs one of the texts. Returns whether it does.
bool putAndWait(Deployment &fleet, const std::string &key, const std::string &value,
                const std::vector<std::string> &texts)
{
    fleet.store.put(key, value);
    return Fleet::waitFor([&] {
        return std::any_of(texts.begin(), texts.end(),
                           [&](const std::string &it) { return fleet.logged(0, it) > 0; });
    });
}

// Part of the line on a value that is rejected.
std::string rejected(const std::string &key)
{
    return " key=\"" + key + "\"";
}

} // namespace

// Guards against a configuration with an odd version that shuts out all later ones until the nodes
// are started anew, while callers get 404.
TEST_CASE("odd entries: a configuration with a version too large for a number is rejected, and the "
          "next one is applied [node][bad-input]")
{
    Deployment fleet;
    fleet.start();
    CHECK(fleet.call("GET", "/safe/1", "r1").status == 200);
    REQUIRE(putAndWait(fleet, "op/config", hugeVersion(),
                       {rejected("op/config"), "version=\"18446744073709551615\""}));
    CHECK(fleet.lastLogged(0, "StoredValueRefused").find("version is not") != std::string::npos);
    CHECK(fleet.call("GET", "/safe/2", "r2").status == 200);
    fleet.putConfiguration(3, "/new/");
    CHECK(Fleet::waitFor([&] { return fleet.call("GET", "/new/1", "r3").status == 200; }));
    CHECK(fleet.logged(0, "OlderHeadSeen") == 0);
    CHECK(fleet.metric("fordwood_stored_values_refused_total") == 1);
}

// Guards against nodes that end with the first request of the team: the library of heads throws on
// longer fields.
TEST_CASE("odd entries: a team with a name too long for the head of a request does not end a node "
          "[node][bad-input]")
{
    Deployment fleet;
    fleet.start();
    Json config = Deployment::configuration(2, "/new/");
    config["tenants"][0]["name"] = std::string(70'000, 'x');
    REQUIRE(
        putAndWait(fleet, "op/config", config.dump(), {rejected("op/config"), "version=\"2\""}));
    for (const char *it : {"/new/1", "/safe/1"})
        fleet.call("GET", it, "r");
    CHECK(fleet.isReady(0));
    CHECK(fleet.call("GET", "/safe/1", "r1").status == 200);
}

// Guards against nodes that end: deep values, as text or as CBOR, which the JSON library reads or
// copies with a call for each level.
TEST_CASE("odd entries: deeply nested values at any key do not end a node, and the next change is "
          "applied [node][bad-input]")
{
    constexpr std::size_t kDepth = 200'000;
    const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
    const std::string deepCbor(kDepth, '\x81');
    const std::string record
        = R"({"service":"board","address":"10.0.0.9:80","zone":"x","version":)"
          R"("v","slots":1,"state":"ready","cold-remaining-ms":0,"sequence":1)";
    Deployment fleet;
    fleet.start();
    const auto survives = [&](const std::string &key, const std::string &value) {
        CAPTURE(key);
        REQUIRE(putAndWait(fleet, key, value,
                           {rejected(key), "failure_domain=\"y\"", "upstream=\"i-4\""}));
        const std::string prefix = "/after-" + std::to_string(fleet.store.revision()) + "/";
        fleet.putConfiguration(static_cast<int>(fleet.store.revision()) + 100, prefix);
        return Fleet::waitFor([&] { return fleet.call("GET", prefix + "1", "r").status == 200; });
    };
    Json config = Deployment::configuration(2);
    config["tenants"] = "deep";
    std::string text = config.dump();
    text.replace(text.find("\"deep\""), 6, deep);
    REQUIRE(survives("op/config", text));
    REQUIRE(survives("op/version/m", R"({"model":"m","version":)" + deep + "}"));
    REQUIRE(survives("op/evacuate/y", deep));
    REQUIRE(survives("servers/i-3", record + R"(,"models":)" + deep + "}"));
    REQUIRE(survives("servers/i-4", record + R"(,"other":)" + deep + "}"));
    REQUIRE(survives("fordwood/nodes/other", deepCbor));
    REQUIRE(survives("fordwood/quarantine/00000000000000010000000000000002", deepCbor));
    fleet.startNode(1);
    CHECK(Fleet::waitFor([&] { return fleet.isReady(1); }));
}
