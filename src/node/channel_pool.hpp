// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CHANNEL_POOL_HPP_INCLUDED
#define FORDWOOD_NODE_CHANNEL_POOL_HPP_INCLUDED

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fordwood/clock.hpp"
#include "fordwood/upstream_record.hpp"
#include "node/http_channel.hpp"

namespace fordwood::node {

// Pools the channels to upstreams by instance, so that an upstream that takes over the address of
// another one does not inherit its channels. Opening a channel costs the upstream time, so idle
// channels are reused first, the most recently used one before the others.
class ChannelPool
{
public:
    using OnReady = std::function<void(std::shared_ptr<HttpChannel>, const ErrorCode &)>;
    using OnProxied = std::function<void(std::shared_ptr<HttpChannel>, ProxyResult)>;

    // Upstreams are a few milliseconds away. A dead one must not delay a request that another one
    // could answer.
    static constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

    // An upstream that does not acknowledge sent bytes for this long is considered unreachable.
    static constexpr Duration kUnacknowledgedTimeout = std::chrono::milliseconds(1'000);

    // How long an upstream keeps an idle connection open if it does not state it.
    static constexpr Duration kDefaultKeepAlive = std::chrono::seconds(4);

    // `socketBuffer`: see limitSocketBuffers().
    ChannelPool(net::io_context &context, const Clock &clock, std::size_t socketBuffer)
        : m_context(context), m_clock(clock), m_socketBuffer(socketBuffer)
    { }

    // Whether another channel may be used. `maxChannels`: this node's share of the connections that
    // the upstream accepts from all nodes.
    bool hasCapacity(const std::string &instanceId, std::size_t maxChannels) const;

    // Passes a connected channel, or the reason why there is none, to `onReady`. In both cases the
    // channel counts as in use until it is released or discarded.
    void acquire(const UpstreamRecord &upstream, OnReady onReady);

    // As acquire(), but opens a new connection even if a channel is idle.
    void acquireNew(const UpstreamRecord &upstream, OnReady onReady);

    // The way to an upstream through a peer.
    struct ProxyRoute
    {
        std::string peerAddress;
        std::string node; // name of this node
        std::shared_ptr<void> use; // released when the channel is closed
    };

    // As acquireNew(), but through a peer.
    void acquireThrough(const ProxyRoute &route, const UpstreamRecord &upstream, OnProxied onReady);

    // Returns a channel on which an answer was read completely. `keepAlive`: how long the upstream
    // keeps the connection open.
    void release(const std::string &instanceId, std::shared_ptr<HttpChannel> channel,
                 Duration keepAlive);

    // Closes a channel that cannot be reused.
    void discard(const std::string &instanceId, const std::shared_ptr<HttpChannel> &channel);

    // Closes the idle channels to an upstream that may be gone.
    void closeIdle(const std::string &instanceId);

    // Removes an upstream that is gone.
    void forget(const std::string &instanceId);

    // Closes channels that have been idle too long.
    void tick();

    std::size_t openChannels() const;

private:
    struct IdleChannel
    {
        std::shared_ptr<HttpChannel> channel;
        TimePoint expiresAt{};
    };
    struct Channels
    {
        std::deque<IdleChannel> idle; // most recently used at the back
        std::size_t inUse = 0;
    };

    net::io_context &m_context;
    const Clock &m_clock;
    const std::size_t m_socketBuffer;
    std::map<std::string, Channels> m_channels; // by instance id
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CHANNEL_POOL_HPP_INCLUDED
