// SPDX-License-Identifier: MIT
// The settings file of a node that runs as one process: errors are reported with their location.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include "config/node_settings.hpp"

using namespace fordwood;
using namespace fordwood::config;
using namespace std::chrono_literals;

namespace {

const char *const kValid = "[node]\n"
                           "name = \"n1\"\n"
                           "failure_domain = \"x\"\n"
                           "region = \"r\"\n"
                           "[callers]\n"
                           "listen = \"127.0.0.1:8080\"\n"
                           "ready_listen = \"127.0.0.1:8081\"\n"
                           "[peers]\n"
                           "listen = \"127.0.0.1:8082\"\n"
                           "gossip_listen = \"127.0.0.1:8083\"\n"
                           "metrics_listen = \"127.0.0.1:8084\"\n"
                           "[store]\n"
                           "address = \"127.0.0.1:7000\"\n";

struct ReadResult
{
    std::optional<OneProcessSettings> settings;
    ConfigErrors errors;

    std::string firstError() const { return errors.empty() ? "" : errors.front().toString(); }
    // Returns the first error whose text contains a word; empty when none does.
    std::string errorContaining(const std::string &word) const
    {
        for (const ConfigError &it : errors) {
            if (it.toString().find(word) != std::string::npos)
                return it.toString();
        }
        return "";
    }
};

// Writes the text to a settings file and reads it.
ReadResult readText(const std::string &text)
{
    const std::string path = std::filesystem::temp_directory_path()
                             / ("fordwood-settings-" + std::to_string(getpid()) + ".toml");
    std::ofstream(path) << text;
    ReadResult result;
    result.settings = readOneProcessSettings(path, result.errors);
    std::filesystem::remove(path);
    // The tests check line and column; the path varies.
    for (ConfigError &it : result.errors)
        it.file = "node.toml";
    return result;
}

// Returns the valid text with the first occurrence of `piece` replaced.
std::string withReplaced(const std::string &piece, const std::string &other)
{
    std::string text = kValid;
    const std::size_t at = text.find(piece);
    REQUIRE(at != std::string::npos);
    return text.replace(at, piece.size(), other);
}

} // namespace

TEST_CASE("node settings: a valid file is read and missing keys get their defaults [settings]")
{
    const ReadResult result = readText(kValid);
    CHECK(result.firstError() == "");
    REQUIRE(result.settings);
    CHECK(result.settings->node.name == "n1");
    CHECK(result.settings->store.address == "127.0.0.1:7000");
    CHECK(result.settings->peers.gossipEvery == 200ms);
    CHECK(result.settings->bounds.stopWithin == 8s);
}

TEST_CASE("node settings: mechanisms follow their table, or else their defaults [settings]")
{
    const ReadResult result = readText(std::string(kValid) + "[mechanisms]\nrelays = false\n");
    REQUIRE(result.settings);
    CHECK_FALSE(result.settings->mechanisms.relays);
    CHECK(result.settings->mechanisms.shortFirst);
    CHECK(result.settings->mechanisms.loadSums);
    CHECK_FALSE(result.settings->mechanisms.shortEngines);
    const ReadResult other = readText(std::string(kValid) + "[mechanisms]\nshort_engines = true\n");
    REQUIRE(other.settings);
    CHECK(other.settings->mechanisms.shortEngines);
    CHECK(readText(kValid).settings->mechanisms.relays);
    CHECK_FALSE(readText(std::string(kValid) + "[mechanisms]\nrelay = false\n").settings);
}

TEST_CASE("node settings: regions of failure domains are read, and the own one is added [settings]")
{
    const ReadResult result
        = readText(std::string(kValid) + "[places]\nregions = [\"y=r\", \"z=other\"]\n");
    REQUIRE(result.settings);
    CHECK(result.settings->regions == DomainRegions{{"x", "r"}, {"y", "r"}, {"z", "other"}});
    for (const char *it : {"y", "=r", "y="}) {
        const ReadResult bad
            = readText(std::string(kValid) + "[places]\nregions = [\"" + it + "\"]\n");
        REQUIRE_FALSE(bad.settings);
        CHECK(bad.errors.front().field == "places.regions");
    }
}

TEST_CASE("node settings: an unknown key is rejected with its location and the closest known key "
          "[settings][bad-input]")
{
    const ReadResult result = readText(withReplaced("ready_listen", "redy_listen"));
    CHECK_FALSE(result.settings);
    const std::string error = result.errorContaining("redy_listen");
    CHECK_MESSAGE(error.starts_with("node.toml:7:1: "), error);
    CHECK_MESSAGE(error.find("ready_listen") != std::string::npos, error);
}

TEST_CASE("node settings: a value of the wrong type is rejected with its location "
          "[settings][bad-input]")
{
    const ReadResult result
        = readText(withReplaced("listen = \"127.0.0.1:8080\"", "listen = 8080"));
    CHECK_FALSE(result.settings);
    CHECK_MESSAGE(result.firstError().starts_with("node.toml:6:"), result.firstError());
    CHECK_MESSAGE(result.firstError().find("IP:port") != std::string::npos, result.firstError());
}

TEST_CASE("node settings: invalid TOML is rejected with its location [settings][bad-input]")
{
    const ReadResult result = readText(withReplaced("region = \"r\"", "region = \"r"));
    CHECK_FALSE(result.settings);
    CHECK_MESSAGE(result.firstError().starts_with("node.toml:4:"), result.firstError());
}

TEST_CASE("node settings: unknown and missing sections are rejected by name [settings][bad-input]")
{
    const ReadResult unknown = readText(std::string(kValid) + "[storage]\naddress = \"a\"\n");
    CHECK_FALSE(unknown.settings);
    CHECK_MESSAGE(unknown.firstError().starts_with("node.toml:14:1: storage"),
                  unknown.firstError());

    const ReadResult missing
        = readText(withReplaced("[store]\naddress = \"127.0.0.1:7000\"\n", ""));
    CHECK_FALSE(missing.settings);
    CHECK_MESSAGE(missing.firstError().find("store") != std::string::npos, missing.firstError());
}

TEST_CASE("node settings: an unreadable file is an error and is not treated as empty "
          "[settings][bad-input]")
{
    ConfigErrors errors;
    CHECK_FALSE(readOneProcessSettings("/nonexistent/node.toml", errors));
    CHECK(errors.size() == 1);
}
