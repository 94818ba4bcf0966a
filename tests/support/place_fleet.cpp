// SPDX-License-Identifier: MIT
#include "support/place_fleet.hpp"

#include <algorithm>

namespace fordwood::support {

namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(1);
constexpr Duration kReportInterval = milliseconds(100);
constexpr Duration kReplyMargin = milliseconds(60);
constexpr Duration kPassOver = std::chrono::seconds(30);
constexpr Duration kDownTime = milliseconds(2'500);
const std::string kService = "s";

} // namespace

PlaceFleet::PlaceFleet(Traits traits, unsigned seed)
    : m_traits(traits), m_random(seed), m_countedSince(m_clock.now())
{
    std::vector<SchedulerNode> all;
    for (std::size_t n = 0; n < traits.nodes; ++n)
        all.push_back({"n" + std::to_string(n), "a" + std::to_string(n), 1.0, "d"});
    for (const SchedulerNode &it : all) {
        m_nodes.push_back(
            {it.name,
             true,
             std::make_unique<SchedulerRanking>(m_clock, SchedulerRanking::Limits{2, kPassOver}),
             std::make_unique<PlaceLender>(m_clock),
             {},
             {}});
        m_nodes.back().lenders->setNodes(all);
    }
    for (std::size_t n = 0; n < traits.upstreams; ++n)
        m_upstreams.push_back({m_nextUpstream++, 0, {}, {}});
}

double PlaceFleet::random()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
}

PlaceFleet::Node *PlaceFleet::find(const std::string &name)
{
    const auto it = std::find_if(m_nodes.begin(), m_nodes.end(),
                                 [&](const Node &node) { return node.name == name; });
    return it != m_nodes.end() && it->isAlive ? &*it : nullptr;
}

void PlaceFleet::after(Duration delay, std::function<void()> action)
{
    m_actions.emplace(m_clock.now() + delay, std::move(action));
}

void PlaceFleet::send(std::function<void()> deliver)
{
    if (random() < m_traits.lossRate)
        return;
    const auto delay = std::chrono::microseconds(500 + static_cast<int>(1'500.0 * random()));
    after(delay, std::move(deliver));
}

std::vector<PlaceLender::Upstream> PlaceFleet::upstreamsUp() const
{
    std::vector<PlaceLender::Upstream> up;
    for (const Upstream &it : m_upstreams) {
        if (m_clock.now() >= it.downUntil)
            up.push_back({it.id, m_traits.slots, it.running});
    }
    return up;
}

std::vector<std::uint64_t> PlaceFleet::preferences()
{
    std::vector<std::uint64_t> ids;
    for (const auto &it : upstreamsUp())
        ids.push_back(it.id);
    std::shuffle(ids.begin(), ids.end(), m_random);
    constexpr std::size_t kMaxUpstreams = 16;
    ids.resize(std::min(ids.size(), kMaxUpstreams));
    return ids;
}

void PlaceFleet::arrive()
{
    const bool isAtFirst = random() < m_traits.shareOfFirstNode;
    const std::size_t n = isAtFirst ? 0 : static_cast<std::size_t>(m_random()) % m_nodes.size();
    if (m_nodes[n].isAlive)
        ask(n);
}

void PlaceFleet::ask(std::size_t n)
{
    Node &asker = node(n);
    const SchedulerNode *lender = asker.lenders->schedulerFor(kService, {});
    if (lender == nullptr)
        return;
    const std::uint64_t number = ++m_lastNumber;
    const std::string name = lender->name;
    asker.pending[number] = {name, m_clock.now() + m_traits.patience + kReplyMargin};
    const PlaceRequest request{{n + 1, number},
                               preferences(),
                               std::chrono::duration_cast<milliseconds>(m_traits.patience),
                               milliseconds(3'000)};
    send([this, name, request] {
        if (Node *const it = find(name)) {
            it->lender->setUpstreams(upstreamsUp());
            it->lender->request(request);
            dispatch(*it);
        }
    });
}

void PlaceFleet::dispatch(Node &lender)
{
    for (const PlaceLender::Decision &it : lender.lender->takeDecisions()) {
        const std::size_t asker = it.process - 1;
        send([this, asker, reply = it.reply] { onReply(asker, reply); });
    }
}

void PlaceFleet::onReply(std::size_t n, const PlaceReply &reply)
{
    Node &asker = node(n);
    const auto it = asker.pending.find(reply.number);
    if (!asker.isAlive || it == asker.pending.end())
        return;
    const std::string lender = it->second.lender;
    asker.pending.erase(it);
    asker.lenders->recordReply(lender);
    if (!reply.isLent())
        return;
    asker.held[reply.number] = {lender, reply.upstream};
    after(milliseconds(1), [this, n, reply] { work(n, reply.number, reply.upstream); });
}

void PlaceFleet::work(std::size_t n, std::uint64_t number, std::uint64_t upstream)
{
    const auto it = std::find_if(m_upstreams.begin(), m_upstreams.end(),
                                 [&](const Upstream &up) { return up.id == upstream; });
    if (it == m_upstreams.end()) {
        giveBack(n, number, false);
        return;
    }
    if (it->running + m_slotsTaken < m_traits.slots) {
        it->running += 1;
        const auto time = std::chrono::duration_cast<Duration>(m_traits.work * (0.5 + random()));
        after(time, [this, n, number, upstream] {
            for (Upstream &up : m_upstreams) {
                if (up.id != upstream)
                    continue;
                up.running -= 1;
                m_served += 1;
            }
            after(milliseconds(1), [this, n, number] { giveBack(n, number, false); });
        });
        return;
    }
    m_rejections += 1;
    it->rejections.push_back(m_clock.now());
    while (m_clock.now() - it->rejections.front() > std::chrono::seconds(1))
        it->rejections.pop_front();
    if (it->rejections.size() > m_traits.rejectionsBorne) {
        m_falls += 1;
        *it = {m_nextUpstream++, 0, {}, m_clock.now() + kDownTime};
    }
    after(milliseconds(1), [this, n, number] { giveBack(n, number, true); });
}

void PlaceFleet::giveBack(std::size_t n, std::uint64_t number, bool wasRejected)
{
    Node &holder = node(n);
    const auto it = holder.held.find(number);
    if (!holder.isAlive || it == holder.held.end())
        return;
    const std::string name = it->second.lender;
    holder.held.erase(it);
    for (int copy = 0; copy < 2; ++copy) {
        send([this, name, n, number, wasRejected] {
            if (Node *const lender = find(name)) {
                lender->lender->giveBack({n + 1, number}, wasRejected);
                dispatch(*lender);
            }
        });
    }
}

void PlaceFleet::reportAll()
{
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        if (!m_nodes[n].isAlive)
            continue;
        for (const SchedulerNode *lender : m_nodes[n].lenders->candidatesFor(kService, {})) {
            PlaceReport report{n + 1, {}, {}};
            for (const auto &[number, held] : m_nodes[n].held) {
                if (held.lender == lender->name)
                    report.numbers.push_back(number);
                else
                    report.others.push_back({held.upstream, 1});
            }
            send([this, name = lender->name, report, n] {
                if (Node *const it = find(name)) {
                    it->lender->apply(report);
                    dispatch(*it);
                    send([this, n, name] { m_nodes[n].lenders->recordReply(name); });
                }
            });
        }
    }
}

void PlaceFleet::killLender()
{
    const SchedulerNode *lender = m_nodes.back().lenders->candidatesFor(kService, {}).front();
    find(lender->name)->isAlive = false;
}

void PlaceFleet::run(Duration time)
{
    const double perSecond = m_traits.load
                             * static_cast<double>(m_traits.upstreams * m_traits.slots)
                             / std::chrono::duration<double>(m_traits.work).count();
    for (const TimePoint end = m_clock.now() + time; m_clock.now() < end; m_clock.advance(kStep)) {
        while (!m_actions.empty() && m_actions.begin()->first <= m_clock.now()) {
            const auto action = std::move(m_actions.begin()->second);
            m_actions.erase(m_actions.begin());
            action();
        }
        m_arrivalsDue += perSecond * std::chrono::duration<double>(kStep).count();
        for (; m_arrivalsDue >= 1.0; m_arrivalsDue -= 1.0)
            arrive();
        for (Node &it : m_nodes) {
            it.lender->tick();
            dispatch(it);
            std::erase_if(it.pending, [&](const auto &pending) {
                const bool isOver = m_clock.now() >= pending.second.timeout;
                if (isOver)
                    it.lenders->recordMiss(pending.second.lender);
                return isOver;
            });
        }
        if (m_clock.now() >= m_nextReport) {
            m_nextReport = m_clock.now() + kReportInterval;
            reportAll();
        }
    }
}

double PlaceFleet::takeServedShare()
{
    const double time = std::chrono::duration<double>(m_clock.now() - m_countedSince).count();
    const double perSecond = static_cast<double>(m_traits.upstreams * m_traits.slots)
                             / std::chrono::duration<double>(m_traits.work).count();
    const double share
        = static_cast<double>(m_served) / (time * perSecond * std::min(m_traits.load, 1.0));
    m_countedSince = m_clock.now();
    m_served = 0;
    return share;
}

} // namespace fordwood::support
