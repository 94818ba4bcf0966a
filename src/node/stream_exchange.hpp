// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_STREAM_EXCHANGE_HPP_INCLUDED
#define FORDWOOD_NODE_STREAM_EXCHANGE_HPP_INCLUDED

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "adapters/observe/metrics.hpp"
#include "fordwood/origin_search.hpp"
#include "fordwood/served_versions.hpp"
#include "fordwood/stream_holders.hpp"
#include "fordwood/stream_origins.hpp"
#include "node/net.hpp"
#include "node/read_barrier.hpp"
#include "node/stream_messages.hpp"
#include "node/timeout_timer.hpp"

namespace fordwood::node {

// Finds out where a stream began that a caller takes up at this node, also if the node that sent it
// is gone. As long as a service has several software versions, or the platform's store cannot tell
// how many it has, nodes tell a few others where their streams began; otherwise nothing is sent.
// Used only on the serving thread.
class StreamExchange
{
public:
    using Send = std::function<void(std::string_view bytes, const udp::endpoint &to)>;
    // Nothing: it is not known where the stream began.
    using OnFound = std::function<void(const std::optional<StreamOrigin> &)>;

    StreamExchange(net::io_context &context, const Clock &clock, adapters::Metrics &metrics,
                   ServedVersions &versions, ReadBarrier &barrier, Send send);

    // All nodes that take part, this one included, which has the address `own`. Without an address
    // this node neither tells nor asks others.
    void setNodes(std::vector<SchedulerNode> nodes, const std::string &own);

    // The caller has received the first event of a stream, or its first one after taking it up.
    void record(const KnownStream &stream);

    // Calls `onFound` exactly once, perhaps before it returns.
    void find(StreamKey key, const std::string &service, OnFound onFound);

    // The same from what peers know alone, where the platform's store does not answer this node.
    void findAtPeers(StreamKey key, const std::string &service, OnFound onFound);

    // Returns false if the message is not about streams.
    bool onDatagram(std::string_view bytes, const udp::endpoint &from);

    // Upstreams of the service were added or removed.
    void onVersionsChanged(const std::string &service);

    // Periodic work.
    void tick();

private:
    struct Search
    {
        StreamQuery query;
        TimePoint startedAt;
        OriginSearch decision;
        std::vector<udp::endpoint> peers;
        OnFound onFound;
        std::unique_ptr<TimeoutTimer> timer;
    };
    using Searches = std::unordered_map<std::uint64_t, Search>;
    // Streams to tell a peer, by origin.
    using Notices = std::map<std::pair<std::string, std::string>, std::vector<KnownStream>>;

    void handle(const StreamNotice &notice, const udp::endpoint &from);
    void handle(const StreamQuery &query, const udp::endpoint &from);
    void handle(const StreamReply &reply, const udp::endpoint &from);

    bool mustTellPeers(const std::string &service) const;
    OriginKnowledge knowledgeOf(StreamKey key, const std::string &service, bool isCurrent) const;
    void search(StreamKey key, const std::string &service, bool isCurrent, TimePoint startedAt,
                OnFound onFound);
    void reply(const StreamQuery &query, bool isCurrent, const udp::endpoint &to);
    void tellUntold();
    std::vector<udp::endpoint> holdersOf(StreamKey key) const;
    void startRound(std::uint64_t number);
    void finish(Searches::iterator search);
    void tellHolders(const KnownStream &stream);
    void sendNotices();
    void sendNotice(const StreamOrigin &origin, const std::vector<KnownStream> &streams,
                    const udp::endpoint &to);

    net::io_context &m_context;
    const Clock &m_clock;
    adapters::Metrics &m_metrics;
    ServedVersions &m_versions;
    ReadBarrier &m_barrier;
    Send m_send;
    StreamOrigins m_origins;
    StreamHolders m_holders;
    std::string m_own; // address
    std::set<std::string> m_mixedServices; // their streams have been told to peers
    std::unordered_set<StreamKey> m_untold; // streams of this node that no peer has been told of
    Searches m_searches; // by number
    std::uint64_t m_lastNumber = 0;
    std::map<udp::endpoint, Notices> m_notices; // not sent yet
    TimeoutTimer m_noticeTimer;
    bool m_areNoticesDue = false;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_STREAM_EXCHANGE_HPP_INCLUDED
