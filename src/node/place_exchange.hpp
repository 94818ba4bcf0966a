// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_PLACE_EXCHANGE_HPP_INCLUDED
#define FORDWOOD_NODE_PLACE_EXCHANGE_HPP_INCLUDED

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "adapters/observe/metrics.hpp"
#include "fordwood/place_lender.hpp"
#include "fordwood/scheduler_ranking.hpp"
#include "node/net.hpp"
#include "node/node_endpoints.hpp"
#include "node/place_messages.hpp"
#include "node/timeout_timer.hpp"

namespace fordwood::node {

// Asks the lenders for places at brittle upstreams, reports the open requests of this node to them,
// and lends places where this node is the lender. Sends nothing while no upstream is brittle. Used
// only on the serving thread.
class PlaceExchange
{
public:
    using Send = std::function<bool(std::string_view bytes, const udp::endpoint &to)>;

    // The upstreams of a group that accept new requests.
    using ListUpstreams = std::function<std::vector<PlaceLender::Upstream>(const PlaceGroup &)>;

    // Nothing: no lender answered in time. `number` identifies the place if one is lent.
    using OnReply
        = std::function<void(const std::optional<PlaceReply> &reply, std::uint64_t number)>;

    struct Question
    {
        PlaceGroup group;
        std::vector<std::uint64_t> upstreams; // see PlaceRequest
        std::chrono::milliseconds patience{0};
        std::chrono::milliseconds lease{0};
    };

    // The requests of this node that are open at a brittle upstream.
    struct OpenRequests
    {
        PlaceGroup group;
        std::uint64_t upstream = 0;
        std::size_t n = 0;
    };

    // `process` identifies this process among all nodes and their restarts.
    PlaceExchange(net::io_context &context, const Clock &clock, adapters::Metrics &metrics,
                  std::uint64_t process, ListUpstreams listUpstreams, Send send);

    // All nodes that may lend, this one included, which has the address `own`. Without an address
    // this node neither asks nor lends.
    void setNodes(std::vector<SchedulerNode> nodes, const std::string &own);

    // Whether a lender of the group can be asked.
    bool hasLender(const PlaceGroup &group) const;

    // Calls `onReply` exactly once, perhaps before it returns.
    void request(const Question &question, OnReply onReply);

    // The request with this place has ended; zero: it had none. `wasRejected`: by the upstream, for
    // want of room.
    void giveBack(std::uint64_t number, bool wasRejected);

    // Returns false if the message is not about places.
    bool onDatagram(std::string_view bytes, const udp::endpoint &from);

    // Periodic work: reports the open requests.
    void tick(const std::vector<OpenRequests> &open);

private:
    struct Pending
    {
        PlaceGroup group;
        OnReply onReply;
        std::string node;
        udp::endpoint lender;
        std::unique_ptr<TimeoutTimer> timeout;
    };
    struct Held
    {
        PlaceGroup group;
        udp::endpoint lender;
        std::uint64_t upstream = 0;
    };
    // The lender of one group, on this node.
    struct OwnLender
    {
        explicit OwnLender(const Clock &clock) : decision(clock) { }

        PlaceLender decision;
        std::map<std::uint64_t, udp::endpoint> processes; // that have asked
        TimePoint listedAt{};
    };

    void handle(const PlaceAsk &ask, const udp::endpoint &from);
    void handle(const PlaceReply &reply, const udp::endpoint &from);
    void handle(const PlaceReturn &message, const udp::endpoint &from);
    void handle(const PlaceStatus &status, const udp::endpoint &from);

    const SchedulerNode *chooseLender(const PlaceGroup &group);
    bool isSelf(const udp::endpoint &address) const { return m_own && address == *m_own; }
    std::vector<const SchedulerNode *> lendersOf(const PlaceGroup &group) const;
    void sendReturn(const PlaceReturn &message, const udp::endpoint &lender);
    void recordReply(const PlaceGroup &group, const udp::endpoint &from);
    void deliver(const PlaceMessage &message, const udp::endpoint &to);
    OwnLender &lenderOf(const PlaceGroup &group);
    void sendDecisions(OwnLender &lender);
    void startWaitTimer();
    void onTimeout(std::uint64_t number);
    void report(const PlaceGroup &group, const std::vector<OpenRequests> &open);

    net::io_context &m_context;
    const Clock &m_clock;
    adapters::Metrics &m_metrics;
    const std::uint64_t m_process;
    const TimePoint m_startedAt;
    ListUpstreams m_listUpstreams;
    Send m_send;
    SchedulerRanking m_ranking;
    NodeEndpoints m_endpoints;
    std::optional<udp::endpoint> m_own;
    std::uint64_t m_lastNumber = 0;
    std::unordered_map<std::uint64_t, Pending> m_pending; // by number
    std::map<std::uint64_t, Held> m_held; // by number
    std::set<PlaceGroup> m_reported; // groups of the last reports
    std::map<PlaceGroup, OwnLender> m_lenders;
    TimeoutTimer m_waitTimer; // runs while requests wait at a lender of this node
    bool m_isWaitTimerRunning = false;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_PLACE_EXCHANGE_HPP_INCLUDED
