// SPDX-License-Identifier: MIT
#include "node/channel_pool.hpp"

#include <numeric>

namespace fordwood::node {

namespace {

// An idle channel is closed this long before the upstream's keep-alive time ends, so that no
// request is sent while the upstream closes the connection.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(700);

} // namespace

bool ChannelPool::hasCapacity(const std::string &instanceId, std::size_t maxChannels) const
{
    const auto it = m_channels.find(instanceId);
    return it == m_channels.end() || it->second.inUse < maxChannels;
}

void ChannelPool::acquire(const UpstreamRecord &upstream, OnReady onReady)
{
    Channels &channels = m_channels[upstream.instanceId];
    while (!channels.idle.empty()) {
        const IdleChannel newest = std::move(channels.idle.back());
        channels.idle.pop_back();
        if (m_clock.now() < newest.expiresAt && newest.channel->isReusable()) {
            channels.inUse += 1;
            onReady(newest.channel, {});
            return;
        }
        newest.channel->close();
    }
    acquireNew(upstream, std::move(onReady));
}

void ChannelPool::acquireNew(const UpstreamRecord &upstream, OnReady onReady)
{
    m_channels[upstream.instanceId].inUse += 1;
    auto channel = std::make_shared<HttpChannel>(m_context);
    const auto endpoint = parseEndpoint<tcp>(upstream.address);
    if (!endpoint) {
        onReady(channel, net::error::invalid_argument);
        return;
    }
    channel->connect(
        *endpoint, {kConnectTimeout, kUnacknowledgedTimeout, m_socketBuffer},
        [channel, onReady = std::move(onReady)](const ErrorCode &ec) { onReady(channel, ec); });
}

void ChannelPool::acquireThrough(const ProxyRoute &route, const UpstreamRecord &upstream,
                                 OnProxied onReady)
{
    m_channels[upstream.instanceId].inUse += 1;
    auto channel = std::make_shared<HttpChannel>(m_context);
    const auto endpoint = parseEndpoint<tcp>(route.peerAddress);
    if (!endpoint) {
        onReady(channel, ProxyResult::PeerFailed);
        return;
    }
    channel->connectThrough(
        {*endpoint, route.node, upstream.instanceId, route.use},
        {kConnectTimeout, kUnacknowledgedTimeout, m_socketBuffer},
        [channel, onReady = std::move(onReady)](ProxyResult result) { onReady(channel, result); });
}

void ChannelPool::release(const std::string &instanceId, std::shared_ptr<HttpChannel> channel,
                          Duration keepAlive)
{
    if (!channel->isReusable() || keepAlive <= kKeepAliveMargin) {
        discard(instanceId, channel);
        return;
    }
    const auto it = m_channels.find(instanceId);
    if (it == m_channels.end()) { // the upstream has been removed
        channel->close();
        return;
    }
    it->second.inUse -= 1;
    it->second.idle.push_back({std::move(channel), m_clock.now() + keepAlive - kKeepAliveMargin});
}

void ChannelPool::discard(const std::string &instanceId,
                          const std::shared_ptr<HttpChannel> &channel)
{
    channel->close();
    const auto it = m_channels.find(instanceId);
    if (it != m_channels.end() && it->second.inUse > 0)
        it->second.inUse -= 1;
}

void ChannelPool::closeIdle(const std::string &instanceId)
{
    const auto it = m_channels.find(instanceId);
    if (it == m_channels.end())
        return;
    for (const IdleChannel &idle : it->second.idle)
        idle.channel->close();
    it->second.idle.clear();
}

void ChannelPool::forget(const std::string &instanceId)
{
    closeIdle(instanceId);
    const auto it = m_channels.find(instanceId);
    if (it != m_channels.end() && it->second.inUse == 0)
        m_channels.erase(it);
}

void ChannelPool::tick()
{
    for (auto &[id, channels] : m_channels) {
        while (!channels.idle.empty()
               && (m_clock.now() >= channels.idle.front().expiresAt
                   || !channels.idle.front().channel->isReusable())) {
            channels.idle.front().channel->close();
            channels.idle.pop_front();
        }
    }
}

std::size_t ChannelPool::openChannels() const
{
    return std::accumulate(m_channels.begin(), m_channels.end(), std::size_t{0},
                           [](std::size_t sum, const auto &it) {
                               return sum + it.second.idle.size() + it.second.inUse;
                           });
}

} // namespace fordwood::node
