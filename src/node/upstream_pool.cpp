// SPDX-License-Identifier: MIT
#include "node/upstream_pool.hpp"

#include <numeric>

namespace fordwood::node {

namespace {

// Upstreams are a few milliseconds away; a dead one must not hold a request that another could
// take.
constexpr Duration kConnectPatience = std::chrono::milliseconds(300);

// Bytes that an upstream does not confirm for so long mean that it, or the way there, is gone.
constexpr Duration kSilence = std::chrono::milliseconds(1'000);

// Before the end of what an upstream grants, so that a request and its close do not cross.
constexpr Duration kRestMargin = std::chrono::milliseconds(700);

} // namespace

bool UpstreamPool::hasRoom(const std::string &instanceId, std::size_t mostChannels) const
{
    const auto it = m_channels.find(instanceId);
    return it == m_channels.end() || it->second.inUse < mostChannels;
}

void UpstreamPool::take(const UpstreamRecord &upstream, Ready ready)
{
    Channels &channels = m_channels[upstream.instanceId];
    channels.inUse += 1;
    while (!channels.resting.empty()) {
        const Resting last = std::move(channels.resting.back());
        channels.resting.pop_back();
        if (m_clock.now() < last.useUntil && last.channel->isReusable()) {
            ready(last.channel, {});
            return;
        }
        last.channel->close();
    }
    auto channel = std::make_shared<HttpChannel>(m_context);
    const auto endpoint = parseEndpoint<tcp>(upstream.address);
    if (!endpoint) {
        ready(channel, net::error::invalid_argument);
        return;
    }
    channel->connect(
        *endpoint, kConnectPatience, kSilence,
        [channel, ready = std::move(ready)](const ErrorCode &ec) { ready(channel, ec); });
}

void UpstreamPool::giveBack(const std::string &instanceId, std::shared_ptr<HttpChannel> channel,
                            Duration keepAlive)
{
    if (!channel->isReusable() || keepAlive <= kRestMargin) {
        drop(instanceId, channel);
        return;
    }
    const auto it = m_channels.find(instanceId);
    if (it == m_channels.end()) { // the upstream is gone by now
        channel->close();
        return;
    }
    it->second.inUse -= 1;
    it->second.resting.push_back({std::move(channel), m_clock.now() + keepAlive - kRestMargin});
}

void UpstreamPool::drop(const std::string &instanceId, const std::shared_ptr<HttpChannel> &channel)
{
    channel->close();
    const auto it = m_channels.find(instanceId);
    if (it != m_channels.end() && it->second.inUse > 0)
        it->second.inUse -= 1;
}

void UpstreamPool::closeResting(const std::string &instanceId)
{
    const auto it = m_channels.find(instanceId);
    if (it == m_channels.end())
        return;
    for (const Resting &resting : it->second.resting)
        resting.channel->close();
    it->second.resting.clear();
}

void UpstreamPool::forget(const std::string &instanceId)
{
    closeResting(instanceId);
    const auto it = m_channels.find(instanceId);
    if (it != m_channels.end() && it->second.inUse == 0)
        m_channels.erase(it);
}

void UpstreamPool::tick()
{
    for (auto &[id, channels] : m_channels) {
        while (!channels.resting.empty()
               && (m_clock.now() >= channels.resting.front().useUntil
                   || !channels.resting.front().channel->isReusable())) {
            channels.resting.front().channel->close();
            channels.resting.pop_front();
        }
    }
}

std::size_t UpstreamPool::openChannels() const
{
    return std::accumulate(m_channels.begin(), m_channels.end(), std::size_t{0},
                           [](std::size_t sum, const auto &it) {
                               return sum + it.second.resting.size() + it.second.inUse;
                           });
}

} // namespace fordwood::node
