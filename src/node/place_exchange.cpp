// SPDX-License-Identifier: MIT
#include "node/place_exchange.hpp"

#include <algorithm>
#include <utility>

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

// A lender replies at the end of a request's patience at the latest. Its VM may be weak and busy.
constexpr std::chrono::milliseconds kReplyMargin{60};

// How often a lender looks for requests that have waited long enough.
constexpr Duration kWaitCheckInterval = std::chrono::milliseconds(10);

// How often a lender lists the upstreams of its group.
constexpr Duration kListInterval = std::chrono::milliseconds(20);

// A process that is younger may not have received the loads of all its peers.
constexpr Duration kLoadsKnownAfter = std::chrono::seconds(1);

// A lender that does not answer is asked again once it has confirmed a report.
SchedulerRanking::Limits rankingLimits()
{
    SchedulerRanking::Limits limits;
    limits.passOver = std::chrono::seconds(30);
    return limits;
}

// So that the lenders of places are usually not the schedulers of the same engines.
std::string rankingKey(const PlaceGroup &group)
{
    return "places at " + group.service;
}

} // namespace

PlaceExchange::PlaceExchange(net::io_context &context, const Clock &clock,
                             adapters::Metrics &metrics, std::uint64_t process,
                             ListUpstreams listUpstreams, Send send)
    : m_context(context), m_clock(clock), m_metrics(metrics), m_process(process),
      m_startedAt(clock.now()), m_listUpstreams(std::move(listUpstreams)), m_send(std::move(send)),
      m_ranking(clock, rankingLimits()), m_waitTimer(context)
{ }

void PlaceExchange::setNodes(std::vector<SchedulerNode> nodes, const std::string &own)
{
    m_own = parseEndpoint<udp>(own);
    if (!m_own)
        nodes.clear();
    m_ranking.setNodes(m_endpoints.assign(std::move(nodes)));
}

std::vector<const SchedulerNode *> PlaceExchange::lendersOf(const PlaceGroup &group) const
{
    return m_ranking.candidatesFor(rankingKey(group), group.shard);
}

bool PlaceExchange::hasLender(const PlaceGroup &group) const
{
    return m_ranking.schedulerFor(rankingKey(group), group.shard) != nullptr;
}

void PlaceExchange::deliver(const PlaceMessage &message, const udp::endpoint &to)
{
    if (isSelf(to))
        std::visit([&](const auto &it) { handle(it, to); }, message);
    else
        m_send(encodePlaceMessage(message), to);
}

// While this node is the lender and does not know yet what is open, the other one lends.
const SchedulerNode *PlaceExchange::chooseLender(const PlaceGroup &group)
{
    const SchedulerNode *first = m_ranking.schedulerFor(rankingKey(group), group.shard);
    const udp::endpoint *endpoint = m_endpoints.find(first);
    if (endpoint == nullptr || !isSelf(*endpoint) || lenderOf(group).decision.isOpen())
        return first;
    const SchedulerNode *other
        = m_ranking.schedulerFor(rankingKey(group), group.shard, first->name);
    return other != nullptr ? other : first;
}

void PlaceExchange::request(const Question &question, OnReply onReply)
{
    const SchedulerNode *node = chooseLender(question.group);
    const udp::endpoint *lender = m_endpoints.find(node);
    if (lender == nullptr) {
        onReply(std::nullopt, 0);
        return;
    }
    const std::uint64_t number = ++m_lastNumber;
    Pending pending{question.group, std::move(onReply), node->name, *lender,
                    std::make_unique<TimeoutTimer>(m_context)};
    pending.timeout->start(question.patience + kReplyMargin, [this, number] { onTimeout(number); });
    m_pending.emplace(number, std::move(pending));
    deliver(PlaceAsk{question.group,
                     {{m_process, number}, question.upstreams, question.patience, question.lease}},
            *lender);
}

void PlaceExchange::onTimeout(std::uint64_t number)
{
    const auto it = m_pending.find(number);
    if (it == m_pending.end())
        return;
    const Pending pending = std::move(it->second);
    m_pending.erase(it);
    m_metrics.count("fordwood_places_missed_total");
    // The lender may have lent a place, and its reply may be lost.
    sendReturn({pending.group, {m_process, number}, false}, pending.lender);
    if (m_ranking.recordMiss(pending.node))
        logEvent(Event::PlaceLenderLost, {{"lender", pending.node}});
    pending.onReply(std::nullopt, 0);
}

void PlaceExchange::giveBack(std::uint64_t number, bool wasRejected)
{
    const auto it = m_held.find(number);
    if (it == m_held.end())
        return;
    const Held held = std::move(it->second);
    m_held.erase(it);
    sendReturn({held.group, {m_process, number}, wasRejected}, held.lender);
}

// Sends it twice: a place whose return is lost is blocked until the next reports.
void PlaceExchange::sendReturn(const PlaceReturn &message, const udp::endpoint &lender)
{
    deliver(message, lender);
    deliver(message, lender);
}

bool PlaceExchange::onDatagram(std::string_view bytes, const udp::endpoint &from)
{
    const auto message = decodePlaceMessage(bytes);
    if (!message)
        return false;
    std::visit([&](const auto &it) { handle(it, from); }, *message);
    return true;
}

PlaceExchange::OwnLender &PlaceExchange::lenderOf(const PlaceGroup &group)
{
    const auto [it, isNew] = m_lenders.try_emplace(group, m_clock);
    OwnLender &lender = it->second;
    if (isNew && m_clock.now() - m_startedAt < kLoadsKnownAfter)
        lender.decision.waitForReports();
    if (m_clock.now() - lender.listedAt >= kListInterval) {
        lender.listedAt = m_clock.now();
        lender.decision.setUpstreams(m_listUpstreams(group));
    }
    return lender;
}

void PlaceExchange::handle(const PlaceAsk &ask, const udp::endpoint &from)
{
    OwnLender &lender = lenderOf(ask.group);
    lender.processes[ask.request.id.process] = from;
    lender.decision.request(ask.request);
    sendDecisions(lender);
}

void PlaceExchange::handle(const PlaceReturn &message, const udp::endpoint & /*from*/)
{
    OwnLender &lender = lenderOf(message.group);
    lender.decision.giveBack(message.id, message.wasRejected);
    sendDecisions(lender);
}

void PlaceExchange::handle(const PlaceStatus &status, const udp::endpoint &from)
{
    OwnLender &lender = lenderOf(status.group);
    lender.decision.apply(status.report);
    if (!isSelf(from))
        lender.decision.recordPeer();
    sendDecisions(lender);
    // Until it lends, processes that have another lender stay there.
    if (lender.decision.isOpen())
        deliver(PlaceReply{}, from);
}

void PlaceExchange::recordReply(const PlaceGroup &group, const udp::endpoint &from)
{
    for (const SchedulerNode *it : lendersOf(group)) {
        const udp::endpoint *endpoint = m_endpoints.find(it);
        if (endpoint != nullptr && *endpoint == from && m_ranking.recordReply(it->name))
            logEvent(Event::PlaceLenderBack, {{"lender", it->name}});
    }
}

void PlaceExchange::handle(const PlaceReply &reply, const udp::endpoint &from)
{
    const auto it = m_pending.find(reply.number);
    if (it == m_pending.end() || it->second.lender != from) {
        // It confirms a report, or is too late: the place has been given back.
        for (const PlaceGroup &group : m_reported)
            recordReply(group, from);
        return;
    }
    const Pending pending = std::move(it->second);
    m_pending.erase(it);
    recordReply(pending.group, from);
    m_metrics.count(reply.isLent() ? "fordwood_places_lent_total"
                                   : "fordwood_places_refused_total");
    if (reply.isLent())
        m_held[reply.number] = {pending.group, from, reply.upstream};
    pending.onReply(reply, reply.number);
}

void PlaceExchange::sendDecisions(OwnLender &lender)
{
    // A reply to a request of this node may lead to another request.
    for (const PlaceLender::Decision &it : lender.decision.takeDecisions()) {
        const auto asker = lender.processes.find(it.process);
        if (asker != lender.processes.end())
            deliver(it.reply, asker->second);
    }
    if (lender.decision.waitingRequests() > 0)
        startWaitTimer();
}

void PlaceExchange::startWaitTimer()
{
    if (m_isWaitTimerRunning)
        return;
    m_isWaitTimerRunning = true;
    m_waitTimer.start(kWaitCheckInterval, [this] {
        m_isWaitTimerRunning = false;
        for (auto &[group, lender] : m_lenders) {
            lender.decision.tick();
            sendDecisions(lender);
        }
    });
}

void PlaceExchange::tick(const std::vector<OpenRequests> &open)
{
    std::set<PlaceGroup> groups;
    for (const OpenRequests &it : open)
        groups.insert(it.group);
    for (const auto &[number, held] : m_held)
        groups.insert(held.group);
    // The last report of a group is empty.
    std::set<PlaceGroup> due = std::exchange(m_reported, groups);
    due.merge(groups);
    for (const PlaceGroup &it : due)
        report(it, open);
    std::size_t lent = 0;
    std::size_t waiting = 0;
    for (auto &[group, lender] : m_lenders) {
        lender.decision.tick();
        sendDecisions(lender);
        lent += lender.decision.lentPlaces();
        waiting += lender.decision.waitingRequests();
    }
    std::erase_if(m_lenders, [](const auto &it) { return it.second.decision.isIdle(); });
    m_metrics.setGauge("fordwood_places_lent", static_cast<double>(lent));
    m_metrics.setGauge("fordwood_places_waiting", static_cast<double>(waiting));
}

void PlaceExchange::report(const PlaceGroup &group, const std::vector<OpenRequests> &open)
{
    for (const SchedulerNode *node : lendersOf(group)) {
        const udp::endpoint *lender = m_endpoints.find(node);
        if (lender == nullptr)
            continue;
        PlaceReport report{m_process, {}, {}};
        std::map<std::uint64_t, std::size_t> lentByIt;
        for (const auto &[number, held] : m_held) {
            if (held.lender != *lender || !(held.group == group))
                continue;
            report.numbers.push_back(number);
            lentByIt[held.upstream] += 1;
        }
        for (const OpenRequests &it : open) {
            const std::size_t known = lentByIt[it.upstream];
            if (it.n > known && it.group == group)
                report.others.push_back({it.upstream, it.n - known});
        }
        deliver(PlaceStatus{group, std::move(report)}, *lender);
    }
}

} // namespace fordwood::node
