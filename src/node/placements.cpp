// SPDX-License-Identifier: MIT
#include "node/placements.hpp"

#include <utility>

#include "adapters/observe/event_log.hpp"
#include "fordwood/relay_role.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

// Progress is collected for this long: much less than the time to compute a long prompt.
constexpr Duration kProgressInterval = std::chrono::milliseconds(4);

} // namespace

Placements::Placements(net::io_context &context, const Clock &clock, adapters::Metrics &metrics,
                       std::uint64_t process, EngineScheduler &scheduler, Duration replyTimeout)
    : m_context(context), m_metrics(metrics), m_process(process), m_replyTimeout(replyTimeout),
      m_scheduler(scheduler), m_ranking(clock),
      m_socket(
          context, clock,
          [this](std::string_view bytes, const udp::endpoint &from) { onDatagram(bytes, from); }),
      m_progressTimer(context)
{ }

bool Placements::open(const std::string &address, ErrorCode &ec)
{
    if (!m_socket.open(address, ec))
        return false;
    m_own = parseEndpoint<udp>(address);
    return true;
}

void Placements::setNodes(std::vector<SchedulerNode> nodes)
{
    nodes = m_endpoints.assign(std::move(nodes));
    m_nodeCount = nodes.size();
    m_ranking.setNodes(std::move(nodes));
}

// In a small fleet every node sees the sends of all others within milliseconds.
bool Placements::hasScheduler(const std::string &service, const EngineShard &shard) const
{
    return m_own && m_nodeCount > kSmallFleet && m_ranking.schedulerFor(service, shard) != nullptr;
}

void Placements::request(PlacementRequest request, OnReply onReply)
{
    const SchedulerNode *node = m_ranking.schedulerFor(request.service, request.shard);
    const udp::endpoint *endpoint = m_endpoints.find(node);
    if (endpoint == nullptr) {
        onReply(std::nullopt, {});
        return;
    }
    request.id = {m_process, ++m_lastNumber};
    const PlacementHandle handle{request.id.number, *endpoint};
    if (isSelf(*endpoint)) {
        const PlacementReply reply = m_scheduler.place(request);
        countReply(reply);
        onReply(reply, handle);
        return;
    }
    // The scheduler has no part in this failure, which does not count as a miss.
    if (!m_socket.send(encodePlacement(request), *endpoint)) {
        onReply(std::nullopt, {});
        return;
    }
    Pending pending{std::move(onReply), node->name, *endpoint,
                    std::make_unique<TimeoutTimer>(m_context)};
    pending.timeout->start(m_replyTimeout, [this, number = handle.number] { onTimeout(number); });
    m_pending.emplace(handle.number, std::move(pending));
}

void Placements::onTimeout(std::uint64_t number)
{
    const auto it = m_pending.find(number);
    if (it == m_pending.end())
        return;
    const Pending pending = std::move(it->second);
    m_pending.erase(it);
    m_metrics.count("fordwood_placements_missed_total");
    // The scheduler may have placed the request, and its reply may be lost.
    ended({number, pending.scheduler});
    if (m_ranking.recordMiss(pending.node))
        logEvent(Event::PlacementSchedulerLost, {{"scheduler", pending.node}});
    pending.onReply(std::nullopt, {});
}

void Placements::onDatagram(std::string_view bytes, const udp::endpoint &from)
{
    const auto message = decodePlacement(bytes);
    if (!message) {
        if (m_onOther && m_onOther(bytes, from))
            return;
        m_metrics.count("fordwood_placement_messages_unreadable_total");
        return;
    }
    std::visit([&](const auto &it) { handle(it, from); }, *message);
}

void Placements::handle(const PlacementRequest &request, const udp::endpoint &from)
{
    m_socket.send(encodePlacement(m_scheduler.place(request)), from);
}

void Placements::handle(const PlacementReply &reply, const udp::endpoint &from)
{
    const auto it = m_pending.find(reply.number);
    if (it == m_pending.end()) {
        // Too late: the request went elsewhere.
        if (reply.outcome == PlacementOutcome::Placed)
            ended({reply.number, from});
        return;
    }
    const Pending pending = std::move(it->second);
    m_pending.erase(it);
    if (m_ranking.recordReply(pending.node))
        logEvent(Event::PlacementSchedulerBack, {{"scheduler", pending.node}});
    countReply(reply);
    pending.onReply(reply, {reply.number, pending.scheduler});
}

void Placements::handle(const PlacementProgress &progress, const udp::endpoint & /*from*/)
{
    m_scheduler.apply(progress);
}

void Placements::countReply(const PlacementReply &reply)
{
    switch (reply.outcome) {
    case PlacementOutcome::Placed:
        m_metrics.count("fordwood_placements_scheduled_total");
        return;
    case PlacementOutcome::Busy:
        m_metrics.count("fordwood_placements_busy_total");
        return;
    case PlacementOutcome::Unavailable:
        m_metrics.count("fordwood_placements_unavailable_total");
        return;
    }
}

PlacementHandle Placements::recordLocal(const std::string &service, const EngineShard &shard,
                                        PlacementProgress::Local placed)
{
    const SchedulerNode *node = m_ranking.schedulerFor(service, shard);
    const udp::endpoint *endpoint = m_endpoints.find(node);
    if (endpoint == nullptr)
        return {};
    m_metrics.count("fordwood_placements_local_total");
    placed.number = ++m_lastNumber;
    const std::uint64_t number = placed.number;
    progressFor(*endpoint).placed.push_back(std::move(placed));
    return {number, *endpoint};
}

void Placements::promptComputed(const PlacementHandle &handle)
{
    if (handle.scheduler)
        progressFor(*handle.scheduler).computed.push_back(handle.number);
}

void Placements::ended(const PlacementHandle &handle, bool hasPaused)
{
    if (!handle.scheduler)
        return;
    PlacementProgress &progress = progressFor(*handle.scheduler);
    progress.ended.push_back(handle.number);
    if (hasPaused)
        progress.paused.push_back(handle.number);
}

PlacementProgress &Placements::progressFor(const udp::endpoint &scheduler)
{
    if (!m_isProgressDue) {
        m_isProgressDue = true;
        m_progressTimer.start(kProgressInterval, [this] { sendProgress(); });
    }
    PlacementProgress &progress = m_progress[scheduler];
    progress.process = m_process;
    return progress;
}

void Placements::sendProgress()
{
    m_isProgressDue = false;
    for (const auto &[scheduler, progress] : std::exchange(m_progress, {})) {
        if (isSelf(scheduler))
            m_scheduler.apply(progress);
        else
            m_socket.send(encodePlacement(progress), scheduler);
    }
}

void Placements::tick()
{
    m_socket.checkForStall();
    m_scheduler.tick();
    m_metrics.setGauge("fordwood_placements_open",
                       static_cast<double>(m_scheduler.openPlacements()));
}

} // namespace fordwood::node
