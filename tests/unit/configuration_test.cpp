// SPDX-License-Identifier: MIT
#include "config/read_configuration.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "config/configuration_assembler.hpp"
#include "config/settings.hpp"

using namespace fordwood;
using namespace fordwood::config;

namespace {

const std::string kDigest(64, 'a');

const std::string kValid = R"([[failure_domain]]
name = "a"
region = "r"
[[model]]
name = "m"
weight_version = "v1"
[[team]]
name = "t"
key_sha256 = [")" + kDigest + R"("]
[[upstream]]
name = "e"
kind = "engine"
failure_domain = "a"
address = "127.0.0.1:80"
models = ["m"]
slots = 4
)";

ConfigErrors errorsOf(const std::string &text)
{
    ConfigErrors errors;
    std::vector<Document> documents;
    if (auto document = parseDocument("f.toml", text, errors))
        documents.push_back(std::move(*document));
    readConfiguration(documents, errors);
    return errors;
}

std::string firstError(const std::string &text)
{
    const ConfigErrors errors = errorsOf(text);
    return errors.empty() ? "" : errors.front().toString();
}

std::map<std::string, std::string> piecesOf(const std::string &text)
{
    ConfigErrors errors;
    std::vector<Document> documents{*parseDocument("f.toml", text, errors)};
    std::map<std::string, std::string> pieces;
    for (const ConfigPiece &it : splitIntoPieces(documents))
        pieces[it.name] = it.text;
    return pieces;
}

} // namespace

TEST_CASE("configuration: a valid one is accepted [configuration]")
{
    CHECK(firstError(kValid) == "");
}

TEST_CASE(
    "configuration: every error names file, line, column and field [configuration][bad-input]")
{
    const std::string team
        = "[[team]]\nname = \"u\"\nkey_sha256 = [\"" + std::string(64, 'b') + "\"]\n";
    struct Case
    {
        std::string text;
        std::string error;
    };
    const std::vector<Case> cases{
        {"[[team]\n", "f.toml:1:8: "},
        {"[[teem]]\n", "f.toml:1:1: teem: unknown section, expected \"team\"?"},
        {team + "shore = 2\n", "f.toml:4:1: team.shore: unknown key, expected \"share\"?"},
        {team + "share = -1\n",
         "f.toml:4:9: team.share: is -1, expected number from 1e-06 to 1000000"},
        {team + "share = nan\n", "f.toml:4:9: team.share: is nan, expected number"},
        {team + "share = inf\n", "f.toml:4:9: team.share: is inf, expected number"},
        {team + "share = \"2\"\n", "f.toml:4:9: team.share: has the wrong type, expected number"},
        {"[[team]]\nkey_sha256 = [\"" + kDigest + "\"]\n", "f.toml:1:1: team.name: is missing"},
        {"[[team]]\nname = \"u\"\nkey_sha256 = [\"xyz\"]\n",
         "f.toml:3:14: team.key_sha256: contains \"xyz\""},
        {"[limits]\ndefault_deadline = \"soon\"\n",
         "f.toml:2:20: limits.default_deadline: is \"soon\""},
        {"[limits]\ndefault_deadline = \"20m\"\n",
         "limits.default_deadline: is longer than max_deadline"},
        {kValid + team + team, "team.name: \"u\" is given twice"},
        {kValid + "[[team]]\nname = \"u\"\nkey_sha256 = [\"" + kDigest + "\"]\n", "shares a key"},
        {kValid
             + "[[upstream]]\nname = \"x\"\nkind = \"engine\"\nfailure_domain = \"zz\"\n"
               "address = \"127.0.0.1:1\"\nmodels = [\"m\"]\nslots = 1\n",
         "upstream.failure_domain: \"zz\" is not declared"},
        {kValid
             + "[[upstream]]\nname = \"x\"\nkind = \"engin\"\nfailure_domain = \"a\"\n"
               "address = \"127.0.0.1:1\"\nmodels = [\"m\"]\nslots = 1\n",
         "upstream.kind: is \"engin\""},
        {kValid
             + "[[upstream]]\nname = \"x\"\nkind = \"service\"\nfailure_domain = \"a\"\n"
               "address = \"somewhere:1\"\nservice = \"s\"\nslots = 1\n",
         "upstream.address: is \"somewhere:1\", expected IP:port"},
        {kValid + "[[route]]\npath = \"/v1/x\"\nservice = \"s\"\n", "route.path: is \"/v1/x\""},
        {kValid + "[[route]]\npath = \"/x\"\nservice = \"s\"\n",
         "route.service: \"s\" has no upstream"},
    };
    for (const Case &it : cases) {
        const std::string error = firstError(it.text);
        CHECK_MESSAGE(error.find(it.error) != std::string::npos, "expected \"", it.error,
                      "\" in \"", error, "\"");
    }
}

TEST_CASE("configuration: all errors are reported, not only the first [configuration]")
{
    CHECK(errorsOf("[[team]]\nname = 3\n[[model]]\nname = \"\"\n").size() == 4);
}

TEST_CASE("configuration: pieces depend on the content only; a change affects one [configuration]")
{
    std::string teams;
    std::string reversed;
    for (int it = 0; it < 200; ++it) {
        std::string table = "[[team]]\nname = \"t" + std::to_string(it) + "\"\nkey_sha256 = [\""
                            + std::string(61, '0') + std::to_string(100 + it) + "\"]\n";
        teams += table;
        table += "# a comment\n";
        reversed.insert(0, table);
    }
    const auto pieces = piecesOf(teams);
    CHECK(pieces.size() == 8);
    CHECK(pieces == piecesOf(reversed));
    std::string changed = teams;
    changed.replace(changed.find("name = \"t7\""), 11, "share = 2.0\nname = \"t7\"");
    const auto after = piecesOf(changed);
    const auto differing = std::count_if(after.begin(), after.end(), [&](const auto &it) {
        return pieces.at(it.first) != it.second;
    });
    CHECK(differing == 1);
}

TEST_CASE("configuration: time spans [configuration]")
{
    using namespace std::chrono_literals;
    CHECK(parseSpan("250ms") == Duration(250ms));
    CHECK(parseSpan("1.5s") == Duration(1500ms));
    CHECK(parseSpan("2m") == Duration(2min));
    CHECK_FALSE(parseSpan("2"));
    CHECK_FALSE(parseSpan("-2s"));
    CHECK_FALSE(parseSpan("nans"));
    CHECK_FALSE(parseSpan("1e99s"));
    CHECK_FALSE(parseSpan(""));
}

TEST_CASE(
    "configuration: assembling from pieces gives the same result as reading it [configuration]")
{
    const auto text = [](int from, int to) {
        std::string teams = kValid;
        for (int it = from; it < to; ++it)
            teams += "[[team]]\nname = \"t" + std::to_string(it) + "\"\nkey_sha256 = [\""
                     + std::string(61, '0') + std::to_string(100 + it) + "\"]\n";
        return teams;
    };
    ConfigurationAssembler assembler;
    ConfigErrors errors;
    // The number of pieces differs between steps, so tables move between pieces.
    for (const auto &[from, to] : {std::pair{0, 10}, {0, 200}, {50, 60}, {5, 120}, {0, 0}}) {
        std::vector<StoredPiece> pieces;
        for (const auto &[name, piece] : piecesOf(text(from, to)))
            pieces.push_back({name, sha256Hex(piece), piece});
        const auto whole = assembler.assemble(pieces, errors);
        REQUIRE(whole);
        CHECK(whole->teams.size() == static_cast<std::size_t>(to - from) + 1);
        for (int it = from; it < to; ++it)
            CHECK(whole->teams.count("t" + std::to_string(it)) == 1);
        CHECK(whole->upstreams.size() == 1);
    }
    CHECK_FALSE(assembler.assemble({{"team", "x", "[[team]"}}, errors));
}
