// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_PLACEMENTS_HPP_INCLUDED
#define FORDWOOD_NODE_PLACEMENTS_HPP_INCLUDED

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "adapters/observe/metrics.hpp"
#include "fordwood/scheduler_ranking.hpp"
#include "node/datagram_socket.hpp"
#include "node/engine_scheduler.hpp"
#include "node/node_endpoints.hpp"
#include "node/placement_messages.hpp"
#include "node/timeout_timer.hpp"

namespace fordwood::node {

// A request that a scheduler counts as placed until its end is reported. Empty: no scheduler does.
struct PlacementHandle
{
    std::uint64_t number = 0;
    std::optional<udp::endpoint> scheduler;
};

// Asks the schedulers of the services for engines, and answers other nodes where this node is the
// scheduler. A scheduler that does not answer in time is not waited for: the node then chooses the
// engine itself. Used only on the serving thread.
class Placements
{
public:
    // Nothing: no scheduler answered in time.
    using OnReply
        = std::function<void(const std::optional<PlacementReply> &, const PlacementHandle &)>;

    // A reply takes two passes over the network and some of the scheduler's processor time. A
    // caller hardly notices this wait if the scheduler is gone.
    static constexpr Duration kReplyTimeout = std::chrono::milliseconds(10);

    // `process` identifies this process among all nodes and their restarts.
    Placements(net::io_context &context, const Clock &clock, adapters::Metrics &metrics,
               std::uint64_t process, EngineScheduler &scheduler,
               Duration replyTimeout = kReplyTimeout);

    // Returns false and sets `ec` if the address cannot be used.
    bool open(const std::string &address, ErrorCode &ec);

    // Messages about other matters share the socket. `handler` returns false for those that it does
    // not know either.
    using OtherHandler = std::function<bool(std::string_view bytes, const udp::endpoint &from)>;
    void onOtherMessage(OtherHandler handler) { m_onOther = std::move(handler); }
    bool send(std::string_view bytes, const udp::endpoint &to) { return m_socket.send(bytes, to); }

    // All nodes that may schedule, this one included.
    void setNodes(std::vector<SchedulerNode> nodes);

    // Whether a scheduler for the service can be asked.
    bool hasScheduler(const std::string &service, const EngineShard &shard) const;

    // Calls `onReply` exactly once. Sets the request's id.
    void request(PlacementRequest request, OnReply onReply);

    // Reports a request that this node placed itself.
    PlacementHandle recordLocal(const std::string &service, const EngineShard &shard,
                                PlacementProgress::Local placed);

    void promptComputed(const PlacementHandle &handle);
    // `hasPaused`: the answer paused longer than its route allows.
    void ended(const PlacementHandle &handle, bool hasPaused = false);

    // Periodic work.
    void tick();

private:
    struct Pending
    {
        OnReply onReply;
        std::string node;
        udp::endpoint scheduler;
        std::unique_ptr<TimeoutTimer> timeout;
    };

    bool isSelf(const udp::endpoint &address) const { return m_own && address == *m_own; }
    void onDatagram(std::string_view bytes, const udp::endpoint &from);
    void handle(const PlacementRequest &request, const udp::endpoint &from);
    void handle(const PlacementReply &reply, const udp::endpoint &from);
    void handle(const PlacementProgress &progress, const udp::endpoint &from);
    void onTimeout(std::uint64_t number);
    void countReply(const PlacementReply &reply);
    PlacementProgress &progressFor(const udp::endpoint &scheduler);
    void sendProgress();

    net::io_context &m_context;
    adapters::Metrics &m_metrics;
    const std::uint64_t m_process;
    const Duration m_replyTimeout;
    EngineScheduler &m_scheduler;
    SchedulerRanking m_ranking;
    DatagramSocket m_socket;
    OtherHandler m_onOther;
    std::optional<udp::endpoint> m_own;
    NodeEndpoints m_endpoints;
    std::size_t m_nodeCount = 0;
    std::uint64_t m_lastNumber = 0;
    std::unordered_map<std::uint64_t, Pending> m_pending; // by number
    std::map<udp::endpoint, PlacementProgress> m_progress; // not sent yet, by scheduler
    TimeoutTimer m_progressTimer;
    bool m_isProgressDue = false;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_PLACEMENTS_HPP_INCLUDED
