// SPDX-License-Identifier: MIT
// Invalid input gets a clear error answer, is counted by reason, and does not stop the node.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "process/fleet.hpp"

using namespace fordwood::process;
using Json = nlohmann::json;

TEST_CASE(
    "bad input: every invalid request gets a clear answer and is counted, and the node goes on "
    "[bad-input]")
{
    Fleet fleet({1, 1, 1, 4, {}, "max_body_bytes = 100000\nread_timeout = \"1s\""});
    fleet.start();
    const std::string chat = "/v1/chat/completions";
    const std::string message = R"("messages":[{"role":"user","content":"x"}])";
    struct Case
    {
        std::string method;
        std::string path;
        std::string body;
        std::vector<std::string> headers;
        int status;
        std::string reason;
        std::string text; // in the answer
    };
    const auto team = Fleet::bearer();
    const std::vector<Case> cases{
        {"POST", chat, "{", {team}, 400, "invalid-json", "not valid JSON"},
        {"POST", chat, "[]", {team}, 400, "invalid-field", "expected an object"},
        {"POST", chat, "{" + message + "}", {team}, 400, "invalid-field", "model: expected a text"},
        {"POST", chat, R"({"model":3,)" + message + "}", {team}, 400, "invalid-field", "model:"},
        {"POST", chat, R"({"model":"m"})", {team}, 400, "invalid-field", "messages:"},
        {"POST",
         chat,
         R"({"model":"m","messages":[3]})",
         {team},
         400,
         "invalid-field",
         "messages[0]:"},
        {"POST",
         chat,
         R"({"model":"m","messages":[{"role":"user"}]})",
         {team},
         400,
         "invalid-field",
         "messages[0].content"},
        {"POST",
         chat,
         R"({"model":"m","stream":"yes",)" + message + "}",
         {team},
         400,
         "invalid-field",
         "stream:"},
        {"POST",
         chat,
         R"({"model":"m","max_tokens":-1,)" + message + "}",
         {team},
         400,
         "invalid-field",
         "max_tokens:"},
        {"POST",
         chat,
         R"({"model":"m","max_tokens":NaN,)" + message + "}",
         {team},
         400,
         "invalid-json",
         ""},
        {"POST",
         chat,
         R"({"model":"m","cache_salt":"other",)" + message + "}",
         {team},
         400,
         "invalid-field",
         "cache_salt:"},
        {"POST", chat, R"({"model":"zz",)" + message + "}", {team}, 404, "unknown-model", "zz"},
        {"POST",
         "/v1/completions",
         R"({"model":"m","prompt":[1]})",
         {team},
         400,
         "invalid-field",
         "prompt:"},
        {"GET", chat, "", {team}, 405, "method-not-allowed", ""},
        {"POST", "/nowhere", "x", {team}, 404, "unknown-route", ""},
        {"POST", "/oncemore", "x", {team}, 404, "unknown-route", ""},
        {"POST", "/once", "x", {}, 401, "unknown-team", ""},
        {"POST", "/once", "x", {"Authorization: Basic abc"}, 401, "unknown-team", ""},
        {"POST",
         "/once",
         "x",
         {team, "Fordwood-Deadline: soon"},
         400,
         "invalid-field",
         "Fordwood-Deadline"},
        {"POST",
         "/once",
         "x",
         {team, "Fordwood-Priority: 1e9"},
         400,
         "invalid-field",
         "Fordwood-Priority"},
        {"POST",
         "/once",
         "x",
         {team, "Fordwood-Repeatable: maybe"},
         400,
         "invalid-field",
         "Fordwood-Repeatable"},
        {"POST", "/once", std::string(100'001, 'x'), {team}, 413, "body-too-large", ""},
        {"POST", "/once", std::string(10'000'000, 'x'), {team}, 413, "body-too-large", ""},
    };
    std::map<std::string, int> reasons;
    for (const Case &it : cases) {
        const auto answer = httpCall(it.method, fleet.caller(0) + it.path, it.body, it.headers);
        const std::string shown = it.body.substr(0, 60);
        CAPTURE(it.path);
        CAPTURE(shown);
        CAPTURE(answer.body);
        CHECK(answer.status == it.status);
        if (answer.headers.count("fordwood-reason") != 0)
            CHECK(answer.headers.at("fordwood-reason") == it.reason);
        CHECK(answer.body.find(it.text) != std::string::npos);
        ++reasons[it.reason];
    }
    for (const auto &it : reasons) {
        const std::string &reason = it.first;
        const int n = it.second;
        CAPTURE(reason);
        CHECK(fleet.metric(0, "fordwood_refusals_total", "\"" + reason + "\"") == n);
    }

    SUBCASE("malformed HTTP")
    {
        CHECK(rawCall(fleet.entryAddress(0), "GET /once\r\n\r\n").find("400") != std::string::npos);
        CHECK(fleet.metric(0, "fordwood_refusals_total", "malformed-request") >= 1);
    }
    SUBCASE("two Content-Length fields, which a load balancer and the node could read differently")
    {
        const auto answer = rawCall(fleet.entryAddress(0),
                                    "POST /once HTTP/1.1\r\nHost: x\r\n" + team
                                        + "\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab");
        CHECK(answer.find("400") != std::string::npos);
        CHECK(answer.find("malformed-request") != std::string::npos);
    }
    SUBCASE("a caller that stops in the middle of its head gets 408")
    {
        const auto answer
            = rawCall(fleet.entryAddress(0), "POST /once HTTP/1.1\r\nHost: x\r\nX-Slow: ");
        CHECK(answer.find("408") != std::string::npos);
        CHECK(answer.find("not-run") != std::string::npos);
        CHECK(fleet.metric(0, "fordwood_refusals_total", "read-timeout") >= 1);
    }
    SUBCASE("a caller that stops in the middle of its body gets 408")
    {
        const auto answer
            = rawCall(fleet.entryAddress(0), "POST /once HTTP/1.1\r\nHost: x\r\n" + team
                                                 + "\r\nContent-Length: 100\r\n\r\nabc");
        CHECK(answer.find("408") != std::string::npos);
    }
    CHECK(httpCall("POST", fleet.caller(0) + "/once", "x", {team}).status == 200);
}
