// SPDX-License-Identifier: MIT
// Tries to reach another team's data at every place that depends on the team.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "apps/entryd/api.hpp"
#include "config/read_configuration.hpp"
#include "fordwood/key_registry.hpp"
#include "fordwood/manual_clock.hpp"
#include "fordwood/permit_scheduler.hpp"

using namespace fordwood;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

// Teams and models whose names give the same text if joined.
std::shared_ptr<const apps::ServingState> stateOf(const std::string &version = "v")
{
    auto configuration = std::make_shared<Configuration>();
    for (const std::string it : {"a", "a/b"}) {
        TeamConfig &team = configuration->teams[it];
        team.name = it;
        team.keyDigests = {config::sha256("key of " + it)};
    }
    for (const std::string it : {"c", "b/c"})
        configuration->models[it] = {it, version};
    const auto view = std::make_shared<const FleetView>(1, configuration, std::vector<Member>{},
                                                        std::set<std::string>{}, "d");
    return std::make_shared<const apps::ServingState>(view);
}

adapters::CallerRequest messageOf(const std::string &key, const std::string &model)
{
    adapters::CallerRequest message;
    message.method = "POST";
    message.path = "/v1/completions";
    message.headers = {
        {"Authorization", "Bearer " + key}, {"X-Weight-Version", "forged"}, {"X-Team", "forged"}};
    message.body = Json{{"model", model}, {"prompt", "the same text"}}.dump();
    return message;
}

apps::ParsedRequest parsedRequest(const apps::ServingState &state, const std::string &key,
                                  const std::string &model)
{
    auto result = apps::parseRequest(state, messageOf(key, model), TimePoint{});
    REQUIRE(result);
    return std::get<apps::ParsedRequest>(*result);
}

std::string saltOf(const apps::ParsedRequest &it)
{
    return Json::parse(it.upstream.body)["cache_salt"];
}

} // namespace

TEST_CASE("isolation: a bearer key identifies its own team only [isolation]")
{
    const auto state = stateOf();
    CHECK(parsedRequest(*state, "key of a", "c").call.team == "a");
    for (const char *it : {"key of b", "key of a ", "", "key of a/b/c"}) {
        CAPTURE(it);
        const auto result = apps::parseRequest(*state, messageOf(it, "c"), TimePoint{});
        REQUIRE_FALSE(result);
        CHECK(result.error().reason == Reason::UnknownTeam);
    }
}

TEST_CASE("isolation: different teams, models or versions never share a salt or prefix [isolation]")
{
    const auto state = stateOf();
    const auto one = parsedRequest(*state, "key of a", "b/c");
    const auto other = parsedRequest(*state, "key of a/b", "c");
    CHECK(saltOf(one) != saltOf(other));
    CHECK(one.call.prefixHash != other.call.prefixHash);
    const auto newer = parsedRequest(*stateOf("v/v"), "key of a", "b/c");
    CHECK(saltOf(one) != saltOf(newer));
    CHECK(saltOf(one) == saltOf(parsedRequest(*state, "key of a", "b/c")));
}

TEST_CASE("isolation: a caller's own salt, version or team is not passed on [isolation]")
{
    const auto state = stateOf();
    auto message = messageOf("key of a", "c");
    message.body = R"({"model": "c", "prompt": "x", "cache_salt": "of another team"})";
    const auto refused = apps::parseRequest(*state, message, TimePoint{});
    REQUIRE_FALSE(refused);
    CHECK(refused.error().reason == Reason::InvalidField);
    for (const auto &[name, value] : parsedRequest(*state, "key of a", "c").upstream.headers)
        CHECK(value != "forged");
}

// Guards against a process that ends: each level of nesting takes the stack of a call when the
// first message is written as text again.
TEST_CASE("bad input: a deeply nested body of a caller is refused [bad-input]")
{
    constexpr std::size_t kDepth = 200'000;
    const auto state = stateOf();
    auto message = messageOf("key of a", "c");
    message.path = "/v1/chat/completions";
    const std::string head = R"({"model":"c","messages":[{"role":"user","content":)";
    message.body = head + std::string(kDepth, '[') + std::string(kDepth, ']') + "}]}";
    const auto refused = apps::parseRequest(*state, message, TimePoint{});
    REQUIRE_FALSE(refused);
    CHECK(refused.error().reason == Reason::InvalidField);
    message.body = head + R"([{"type":"text","text":"[[[[{{{{\"[[[["}]}]})";
    CHECK(apps::parseRequest(*state, message, TimePoint{}));
}

TEST_CASE("isolation: a later weight version replaces the whole salt [isolation]")
{
    auto call = parsedRequest(*stateOf(), "key of a", "c");
    const std::string before = saltOf(call);
    apps::setWeightVersion(call.upstream, call.call, "a longer version");
    CHECK(saltOf(call) != before);
    const Json body = Json::parse(call.upstream.body);
    CHECK(body["prompt"] == "the same text");
    CHECK(call.upstream.body.find("cache_salt") == call.upstream.body.rfind("cache_salt"));
    apps::setWeightVersion(call.upstream, call.call, "v");
    CHECK(saltOf(call) == before);
}

TEST_CASE("isolation: only the holder of a permit can release it [isolation]")
{
    ManualClock clock;
    PermitScheduler book(clock);
    book.setUpstreams({{"up", 1, false}});
    book.request({1, 1, "up", "a", 1.0, 0, 0s});
    const auto answers = book.takeAnswers();
    REQUIRE(answers.at(0).granted);
    const std::uint64_t permit = answers[0].permitId;
    book.release(2, permit, "up", 1.0); // by another node
    book.release(1, permit, "other", 1.0); // for another upstream
    book.withdraw(2, 1, "up");
    CHECK(book.running("up") == 1);
    book.release(1, permit, "up", 1.0);
    CHECK(book.running("up") == 0);
}

TEST_CASE("isolation: a key of one team neither blocks nor answers another team's [isolation]")
{
    ManualClock clock;
    KeyRegistry registry({"n", 1}, clock, {});
    const WallTime now = clock.wallNow();
    const auto ms = [](int n) { return std::chrono::milliseconds(n); };
    for (std::uint32_t it = 0; it < kKeyPartitions; ++it)
        registry.setChain(it, {{{"n", 1}, now - ms(1000), now + ms(1000)}});
    const IdempotencyKey mine{"a", "b/k", now};
    CHECK(registry.claim(1, mine).decision == ClaimAnswer::Decision::Run);
    registry.finish(1, mine, RunState::Ran, {200, "text/plain", "secret of a"});
    const IdempotencyKey theirs{"a/b", "k", now};
    CHECK(registry.claim(1, theirs).decision == ClaimAnswer::Decision::Run);
}
