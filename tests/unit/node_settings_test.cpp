// SPDX-License-Identifier: MIT
// The settings file of a node that runs as one process: what is wrong is told with its place.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include "config/node_settings.hpp"

using namespace fordwood;
using namespace fordwood::config;
using namespace std::chrono_literals;

namespace {

const char *const kSound = "[node]\n"
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

struct Reading
{
    std::optional<OneProcessSettings> settings;
    ConfigErrors errors;

    std::string firstError() const { return errors.empty() ? "" : errors.front().toString(); }
    // The error that names a word; empty when none does.
    std::string errorNaming(const std::string &word) const
    {
        for (const ConfigError &it : errors) {
            if (it.toString().find(word) != std::string::npos)
                return it.toString();
        }
        return "";
    }
};

// Reads a settings file with this text.
Reading readText(const std::string &text)
{
    const std::string path = std::filesystem::temp_directory_path()
                             / ("fordwood-settings-" + std::to_string(getpid()) + ".toml");
    std::ofstream(path) << text;
    Reading reading;
    reading.settings = readOneProcessSettings(path, reading.errors);
    std::filesystem::remove(path);
    // The place within the file is what the tests look at.
    for (ConfigError &it : reading.errors)
        it.file = "node.toml";
    return reading;
}

// The sound text with one piece replaced.
std::string with(const std::string &piece, const std::string &other)
{
    std::string text = kSound;
    const std::size_t at = text.find(piece);
    REQUIRE(at != std::string::npos);
    return text.replace(at, piece.size(), other);
}

} // namespace

TEST_CASE("node settings: a sound file is read, and what it leaves out has its default [settings]")
{
    const Reading reading = readText(kSound);
    CHECK(reading.firstError() == "");
    REQUIRE(reading.settings);
    CHECK(reading.settings->node.name == "n1");
    CHECK(reading.settings->store.address == "127.0.0.1:7000");
    CHECK(reading.settings->peers.gossipEvery == 200ms);
    CHECK(reading.settings->bounds.stopWithin == 8s);
}

TEST_CASE("node settings: a mechanism is as its table says, else as measured best [settings]")
{
    const Reading reading = readText(std::string(kSound) + "[mechanisms]\nrelays = false\n");
    REQUIRE(reading.settings);
    CHECK_FALSE(reading.settings->mechanisms.relays);
    CHECK(reading.settings->mechanisms.shortFirst);
    CHECK(reading.settings->mechanisms.loadSums);
    CHECK_FALSE(reading.settings->mechanisms.shortEngines);
    const Reading other = readText(std::string(kSound) + "[mechanisms]\nshort_engines = true\n");
    REQUIRE(other.settings);
    CHECK(other.settings->mechanisms.shortEngines);
    CHECK(readText(kSound).settings->mechanisms.relays);
    CHECK_FALSE(readText(std::string(kSound) + "[mechanisms]\nrelay = false\n").settings);
}

TEST_CASE("node settings: the regions of failure domains are read, the own one is known [settings]")
{
    const Reading reading
        = readText(std::string(kSound) + "[places]\nregions = [\"y=r\", \"z=other\"]\n");
    REQUIRE(reading.settings);
    CHECK(reading.settings->regions == DomainRegions{{"x", "r"}, {"y", "r"}, {"z", "other"}});
    for (const char *it : {"y", "=r", "y="}) {
        const Reading bad
            = readText(std::string(kSound) + "[places]\nregions = [\"" + it + "\"]\n");
        REQUIRE_FALSE(bad.settings);
        CHECK(bad.errors.front().field == "places.regions");
    }
}

TEST_CASE("node settings: an unknown key is refused with its place and the key that was meant "
          "[settings][bad-input]")
{
    const Reading reading = readText(with("ready_listen", "redy_listen"));
    CHECK_FALSE(reading.settings);
    const std::string error = reading.errorNaming("redy_listen");
    CHECK_MESSAGE(error.starts_with("node.toml:7:1: "), error);
    CHECK_MESSAGE(error.find("ready_listen") != std::string::npos, error);
}

TEST_CASE("node settings: a value of another type is refused with its place [settings][bad-input]")
{
    const Reading reading = readText(with("listen = \"127.0.0.1:8080\"", "listen = 8080"));
    CHECK_FALSE(reading.settings);
    CHECK_MESSAGE(reading.firstError().starts_with("node.toml:6:"), reading.firstError());
    CHECK_MESSAGE(reading.firstError().find("IP:port") != std::string::npos, reading.firstError());
}

TEST_CASE("node settings: text that is no TOML is refused with its place [settings][bad-input]")
{
    const Reading reading = readText(with("region = \"r\"", "region = \"r"));
    CHECK_FALSE(reading.settings);
    CHECK_MESSAGE(reading.firstError().starts_with("node.toml:4:"), reading.firstError());
}

TEST_CASE("node settings: unknown and missing sections are refused by name [settings][bad-input]")
{
    const Reading unknown = readText(std::string(kSound) + "[storage]\naddress = \"a\"\n");
    CHECK_FALSE(unknown.settings);
    CHECK_MESSAGE(unknown.firstError().starts_with("node.toml:14:1: storage"),
                  unknown.firstError());

    const Reading missing = readText(with("[store]\naddress = \"127.0.0.1:7000\"\n", ""));
    CHECK_FALSE(missing.settings);
    CHECK_MESSAGE(missing.firstError().find("store") != std::string::npos, missing.firstError());
}

TEST_CASE("node settings: a file that cannot be read is an error, not an empty file "
          "[settings][bad-input]")
{
    ConfigErrors errors;
    CHECK_FALSE(readOneProcessSettings("/nonexistent/node.toml", errors));
    CHECK(errors.size() == 1);
}
