// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_HTTP_CALL_HPP_INCLUDED
#define FORDWOOD_NODE_HTTP_CALL_HPP_INCLUDED

#include <string>
#include <utility>
#include <vector>

#include <tl/expected.hpp>

namespace fordwood::node {

// A request that the node itself makes: to the platform, a peer, an engine or a store.
struct HttpCall
{
    std::string address; // IP:port
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body; // JSON; empty: none
};

struct HttpReply
{
    unsigned status = 0;
    std::string body;
    std::vector<std::pair<std::string, std::string>> fields = {}; // header fields

    bool operator==(const HttpReply &) const = default;
};

// Why a call received no reply.
enum class HttpFailure {
    NotSent, // no connection was established
    NoAnswer, // the call was sent, so it may have been executed
    AnswerCut, // as NoAnswer; the answer began to arrive, but not all of it came in time
};

using HttpResult = tl::expected<HttpReply, HttpFailure>;

} // namespace fordwood::node

#endif // FORDWOOD_NODE_HTTP_CALL_HPP_INCLUDED
