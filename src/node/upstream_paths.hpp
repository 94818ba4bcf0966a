// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_UPSTREAM_PATHS_HPP_INCLUDED
#define FORDWOOD_NODE_UPSTREAM_PATHS_HPP_INCLUDED

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "adapters/observe/metrics.hpp"
#include "fordwood/proxy_peers.hpp"
#include "fordwood/upstream_directory.hpp"
#include "fordwood/upstream_health.hpp"
#include "fordwood/upstream_reach.hpp"
#include "fordwood/upstream_record.hpp"
#include "node/channel_pool.hpp"
#include "node/net.hpp"
#include "node/proxy_server.hpp"

namespace fordwood::node {

// A request that waits for an answer on the node's own path.
class PathUser
{
public:
    virtual ~PathUser() = default;

    // Called several times a second while the node is cut off from the service.
    virtual void onCutOff() = 0;
};

// Decides whether a connection to an upstream is opened on this node's own path or through a peer.
// Probes the paths while that is in doubt, and logs what the node reaches.
//
// A failure on the node's own path counts against the upstream only if the path works. What follows
// from such a failure, for example that an upstream has restarted, is held back until that is
// known.
class UpstreamPaths : public ProxyHost
{
public:
    // What the paths are used for.
    struct Parts
    {
        const UpstreamDirectory &upstreams;
        UpstreamHealth &health;
        ChannelPool &channels;
        adapters::Metrics &metrics;
    };

    // `self`: the name of this node.
    UpstreamPaths(const Clock &clock, std::string self, Parts parts);

    // The nodes that act as proxies, without this one.
    void setPeers(std::vector<ProxyPeer> peers) { m_peers->setPeers(std::move(peers)); }

    // From now on no connections are opened for peers.
    void startStop() { m_isStopping = true; }

    // From ProxyHost. Also called for the connections that this node opens for itself.
    std::optional<UpstreamRecord> upstreamForPeer(const std::string &instanceId) override;
    void connected(const UpstreamRecord &upstream) override;
    void connectFailed(const UpstreamRecord &upstream, const ErrorCode &cause) override;

    // A connection to the upstream on the node's own path has failed during a request. Returns
    // whether the path is known to be at fault, so that the upstream is not.
    bool channelFailed(const UpstreamRecord &upstream);

    // Calls `action` once it is known that the node's own path to the service works, and never if
    // it does not.
    void ifPathWorks(const std::string &service, std::function<void()> action);

    // A connection to the upstream through a peer has failed during a request. Calls `action` once
    // the peer is known to work, so that the upstream is at fault, and never if the peer has ended
    // or stops.
    void ifPeerWorks(const std::string &peer, const UpstreamRecord &upstream,
                     std::function<void()> action);

    // Whether the node's own path to the service has failed and peers reach it.
    bool isCutOff(const std::string &service) const
    {
        return m_reach.state(service) == UpstreamReach::State::CutOff;
    }

    // Whether a request should go through a peer. `isRetry`: a connection for the same request has
    // just failed.
    bool needsPeer(const std::string &service, bool isRetry) const;

    // The peer to connect through; nothing if none is available at the moment.
    std::optional<ProxyPeer> choosePeer(const ProxyPeers::Query &query) const
    {
        return m_peers->choose(query);
    }

    // Connects through the peer; see ChannelPool::acquireThrough().
    void connectThrough(const ProxyPeer &peer, const UpstreamRecord &upstream,
                        ChannelPool::OnProxied onReady);

    // The request was sent to an upstream of the service on the node's own path.
    void addUser(const std::string &service, std::weak_ptr<PathUser> user);

    // Periodic work.
    void tick();

private:
    void openThrough(const ProxyPeer &peer, const UpstreamRecord &upstream,
                     ChannelPool::OnProxied onReady);
    void notifyUsers();
    void fail(const UpstreamRecord &upstream, const std::string &cause);
    void updateState(const std::string &service, const std::string &cause);
    void excuseUpstreams(const std::string &service);
    void probe(const std::string &service);
    void probeDirectly(const UpstreamRecord &upstream);
    void probeThroughPeers(const UpstreamRecord &upstream);
    void onProxyResult(const ProxyPeer &peer, const UpstreamRecord &upstream, ProxyResult result);

    Parts m_parts;
    const std::string m_self;
    UpstreamReach m_reach;
    std::shared_ptr<ProxyPeers> m_peers; // shared with open channels, which may outlive this
    std::map<std::string, UpstreamReach::State> m_states; // other than Reachable, by service
    std::map<std::string, std::vector<std::function<void()>>> m_heldBack; // by service
    std::map<std::string, std::vector<std::function<void()>>> m_peerChecks; // by peer
    std::map<std::string, std::vector<std::weak_ptr<PathUser>>> m_users; // by service
    bool m_isStopping = false;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_UPSTREAM_PATHS_HPP_INCLUDED
