// SPDX-License-Identifier: MIT
#include "node/refusal.hpp"

#include <array>
#include <cstdio>

namespace fordwood::node {

namespace {

namespace http = boost::beast::http;

constexpr unsigned kFirstServerError = 500;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kServiceUnavailable = 503;

unsigned statusOf(const Verdict &verdict)
{
    const auto status = static_cast<unsigned>(info(verdict.reason).httpStatus);
    if (verdict.state == RunState::NotRun)
        return status >= kFirstServerError ? kServiceUnavailable : status;
    return status == kServiceUnavailable ? kBadGateway : status;
}

} // namespace

std::string secondsText(std::chrono::milliseconds time)
{
    std::array<char, 32> text{};
    const int n = std::snprintf(text.data(), text.size(), "%.3f",
                                std::chrono::duration<double>(time).count());
    return {text.data(), static_cast<std::size_t>(n)};
}

Refusal makeRefusal(const Verdict &verdict)
{
    Refusal refusal;
    refusal.head.result(statusOf(verdict));
    refusal.head.version(11);
    refusal.head.set(http::field::content_type, "application/json");
    if (refusal.head.result_int() == kServiceUnavailable && verdict.retryAfter.count() > 0)
        refusal.head.set(http::field::retry_after, secondsText(verdict.retryAfter));
    refusal.body = R"({"error":{"code":")" + std::string(info(verdict.reason).name) + R"("}})";
    return refusal;
}

} // namespace fordwood::node
