// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_HTTP_CALLER_HPP_INCLUDED
#define FORDWOOD_NODE_HTTP_CALLER_HPP_INCLUDED

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "node/http_call.hpp"
#include "node/http_channel.hpp"

namespace fordwood::node {

// Makes the node's own calls, each with a time limit, and keeps a channel or two for each address.
// A call is sent once and never again; a channel on which an answer was lost is closed. Used on the
// thread of its io_context.
class HttpCaller
{
public:
    using Done = std::function<void(const HttpResult &)>;

    HttpCaller(net::io_context &context, const Clock &clock)
        : m_context(context), m_clock(clock) { }

    void send(const HttpCall &call, Duration patience, Done done);

private:
    class Run;
    struct Idle
    {
        std::shared_ptr<HttpChannel> channel;
        TimePoint since{};
    };

    std::shared_ptr<HttpChannel> takeIdle(const std::string &address);
    void keep(const std::string &address, std::shared_ptr<HttpChannel> channel);

    net::io_context &m_context;
    const Clock &m_clock;
    std::multimap<std::string, Idle> m_idle; // by address
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_HTTP_CALLER_HPP_INCLUDED
