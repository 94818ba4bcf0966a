// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_PROXY_SERVER_HPP_INCLUDED
#define FORDWOOD_NODE_PROXY_SERVER_HPP_INCLUDED

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "adapters/observe/metrics.hpp"
#include "fordwood/buffer_budget.hpp"
#include "fordwood/upstream_record.hpp"
#include "node/accept_loop.hpp"
#include "node/net.hpp"

namespace fordwood::node {

// Decides which connections a proxy opens, and learns their results.
class ProxyHost
{
public:
    virtual ~ProxyHost() = default;

    // The upstream to connect to; nothing if this node does not open a connection to it.
    virtual std::optional<UpstreamRecord> upstreamForPeer(const std::string &instanceId) = 0;

    // This node has connected to the upstream, or could not.
    virtual void connected(const UpstreamRecord &upstream) = 0;
    virtual void connectFailed(const UpstreamRecord &upstream, const ErrorCode &cause) = 0;
};

// Opens connections to upstreams for peers that cannot reach them, and copies bytes in both
// directions. Only connects to upstreams itself, never through another peer. An end of either
// connection ends the other in the same way, so that an answer that breaks off is not taken for a
// complete one, and a caller's disconnect reaches the upstream. Used on the thread of its
// io_context.
class ProxyServer
{
public:
    ProxyServer(net::io_context &context, const Clock &clock, ProxyHost &host,
                BufferBudget &buffers, adapters::Metrics &metrics);

    // Returns false and sets `ec` if the address cannot be used.
    bool listen(const std::string &address, ErrorCode &ec);

    // Connections of peers, including those that wait for an upstream.
    std::size_t openConnections() const { return m_shared->open.size(); }

    // Stops listening and closes all connections, so that peers do not wait for them until the
    // process ends. What has been written to them still arrives.
    void close();

private:
    class Connection;

    // What connections use, which may outlive the server.
    struct Shared
    {
        const Clock &clock;
        ProxyHost &host;
        BufferBudget &buffers;
        adapters::Metrics &metrics;
        std::set<Connection *> open;
        std::size_t asked = 0; // of these, for an upstream
    };

    std::shared_ptr<Shared> m_shared;
    AcceptLoop m_acceptor;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_PROXY_SERVER_HPP_INCLUDED
