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

// Channels to upstreams, by instance: an address that is given to another upstream later shares
// nothing with the one before. New channels cost the upstream time, so resting ones are used first,
// the one used last before the others.
class ChannelPool
{
public:
    using OnReady = std::function<void(std::shared_ptr<HttpChannel>, const ErrorCode &)>;

    ChannelPool(net::io_context &context, const Clock &clock) : m_context(context), m_clock(clock)
    { }

    // Whether another channel may be used; `maxChannels`: this node's part of what the upstream
    // takes from all callers.
    bool hasCapacity(const std::string &instanceId, std::size_t maxChannels) const;

    // Gives a channel that can take a request, or tells why none came up. It is in use until it is
    // given back or dropped.
    void acquire(const UpstreamRecord &upstream, OnReady onReady);

    // A whole answer was read on the channel. `keepAlive`: how long the upstream keeps it.
    void release(const std::string &instanceId, std::shared_ptr<HttpChannel> channel,
                 Duration keepAlive);

    // The channel is of no more use.
    void discard(const std::string &instanceId, const std::shared_ptr<HttpChannel> &channel);

    // Closes the resting channels of an upstream that may be gone.
    void closeIdle(const std::string &instanceId);

    // The upstream is gone.
    void forget(const std::string &instanceId);

    // Closes channels that have rested too long.
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
        std::deque<IdleChannel> idle; // the one used last at the back
        std::size_t inUse = 0;
    };

    net::io_context &m_context;
    const Clock &m_clock;
    std::map<std::string, Channels> m_channels; // by instance id
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CHANNEL_POOL_HPP_INCLUDED
