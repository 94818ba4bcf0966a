// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_UPSTREAM_ATTEMPT_HPP_INCLUDED
#define FORDWOOD_NODE_UPSTREAM_ATTEMPT_HPP_INCLUDED

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "fordwood/clock.hpp"
#include "fordwood/engine_chooser.hpp"
#include "fordwood/upstream_load_tracker.hpp"
#include "fordwood/upstream_record.hpp"
#include "node/http_channel.hpp"
#include "platform/caller_messages.hpp"

namespace fordwood::node {

// What one request has under way at one upstream, or had last.
struct UpstreamAttempt
{
    UpstreamRecord upstream;
    RequestLoad load;
    EngineChoice engine; // of requests to engines
    std::string model; // likewise
    std::chrono::milliseconds fetchUntil{0}; // by the engines' clock
    std::shared_ptr<HttpChannel> channel;
    TimePoint begun{};
    TimePoint sentAt{}; // when the request was handed to the connection
    bool isOpen = true;
    bool sent = false;
    bool computed = false; // the answer has begun
    platform::AnswerHead head;
    std::optional<http::response_header<>> answer;
    std::string body; // of an answer that is passed on whole
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_UPSTREAM_ATTEMPT_HPP_INCLUDED
