// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_HTTP_CLIENT_HPP_INCLUDED
#define FORDWOOD_NODE_HTTP_CLIENT_HPP_INCLUDED

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "node/http_call.hpp"
#include "node/http_channel.hpp"

namespace fordwood::node {

// Makes the node's own calls, each with a time limit, and keeps up to two idle channels per
// address. A call is never repeated, and a channel on which an answer was lost is closed. Used on
// the thread of its io_context.
class HttpClient
{
public:
    using Done = std::function<void(const HttpResult &)>;

    HttpClient(net::io_context &context, const Clock &clock)
        : m_context(context), m_clock(clock) { }

    void send(const HttpCall &call, Duration timeout, Done done);

private:
    class Call;
    struct IdleChannel
    {
        std::shared_ptr<HttpChannel> channel;
        TimePoint idleSince{};
    };

    std::shared_ptr<HttpChannel> takeIdle(const std::string &address);
    void keepIdle(const std::string &address, std::shared_ptr<HttpChannel> channel);

    net::io_context &m_context;
    const Clock &m_clock;
    std::multimap<std::string, IdleChannel> m_idle; // by address
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_HTTP_CLIENT_HPP_INCLUDED
