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
#include "node/placements.hpp"
#include "platform/caller_messages.hpp"

namespace fordwood::node {

// What has arrived of an answer since its last part that is of use to the caller: comments of a
// stream, a body that no caller gets, or that of an error, of which only the bytes are counted.
struct UselessInput
{
    std::size_t parts = 0;
    std::size_t bytes = 0;
    TimePoint since{}; // when the first part arrived
};

// One attempt to have a request answered by an upstream: the current one, or the last one.
struct UpstreamAttempt
{
    UpstreamRecord upstream;
    RequestLoad load;
    EngineChoice engine; // only for requests to engines
    std::string model; // only for requests to engines
    std::chrono::milliseconds fetchDeadline{0}; // on the engines' clock
    PlacementHandle placement;
    std::uint64_t place = 0; // lent at a brittle upstream; zero: none
    bool wasRejected = false; // by the upstream, for want of room
    std::string proxy; // name of the peer through which it goes; empty: none
    std::shared_ptr<HttpChannel> channel;
    TimePoint startedAt{};
    TimePoint sentAt{}; // when the request was written to the channel
    TimePoint lastDataAt{}; // when a part of the answer last arrived; initially sentAt
    bool isOpen = true;
    bool sent = false;
    bool isResumption = false; // of a stream whose caller has a part of it
    bool promptComputed = false; // the first part of the answer has arrived
    platform::AnswerHead head;
    std::optional<http::response_header<>> answer;
    std::string body; // of an answer that is not streamed
    std::size_t bodyBytes = 0; // of the answer that have arrived
    UselessInput useless;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_UPSTREAM_ATTEMPT_HPP_INCLUDED
