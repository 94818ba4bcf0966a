// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_HTTP_CALL_HPP_INCLUDED
#define FORDWOOD_NODE_HTTP_CALL_HPP_INCLUDED

#include <string>
#include <utility>
#include <vector>

#include <tl/expected.hpp>

namespace fordwood::node {

// One call of the node's own: to the platform, a peer, an engine or a store.
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
    std::vector<std::pair<std::string, std::string>> fields = {}; // of the head

    bool operator==(const HttpReply &) const = default;
};

// Why a call brought no reply.
enum class HttpFailure {
    NotSent, // no connection came up
    NoAnswer, // it was sent and may have been carried out
};

using HttpResult = tl::expected<HttpReply, HttpFailure>;

} // namespace fordwood::node

#endif // FORDWOOD_NODE_HTTP_CALL_HPP_INCLUDED
