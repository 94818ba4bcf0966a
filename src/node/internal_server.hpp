// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_INTERNAL_SERVER_HPP_INCLUDED
#define FORDWOOD_NODE_INTERNAL_SERVER_HPP_INCLUDED

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "node/accept_loop.hpp"
#include "node/net.hpp"

namespace fordwood::node {

// A reply. Connections that send the same large body share it.
struct ServedReply
{
    unsigned status = 0;
    std::shared_ptr<const std::string> body;
    std::chrono::milliseconds retryAfter{0}; // zero: not stated
};

ServedReply makeReply(unsigned status, std::string body = "");

// Answers short GET requests of the platform, of peers and of monitoring, such as readiness checks,
// requests for the replica of the store, and metrics. Used on the thread of its io_context.
class InternalServer
{
public:
    // Returns the reply for a target such as "/metrics".
    using Answer = std::function<ServedReply(std::string_view target)>;

    InternalServer(net::io_context &context, Answer answer);

    // Returns false and sets `ec` if the address cannot be used.
    bool listen(const std::string &address, ErrorCode &ec);

private:
    class Connection;
    struct Connections;

    void onAccepted(tcp::socket socket);

    const Answer m_answer;
    const std::shared_ptr<Connections> m_connections;
    AcceptLoop m_acceptor;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_INTERNAL_SERVER_HPP_INCLUDED
