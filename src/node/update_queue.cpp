// SPDX-License-Identifier: MIT
#include "node/update_queue.hpp"

#include <algorithm>
#include <utility>

namespace fordwood::node {

namespace {

std::string silenceOf(const std::string &store)
{
    return "context store silent " + store;
}

// What an update is about: of two about the same subject only the newer one matters.
struct Subject
{
    std::string operator()(const ConfigInForce &) const { return "configuration"; }
    std::string operator()(const UpstreamWritten &it) const
    {
        return "upstream " + it.record.instanceId;
    }
    std::string operator()(const UpstreamRemoved &it) const { return "upstream " + it.instanceId; }
    std::string operator()(const DomainEvacuated &it) const
    {
        return "evacuation " + it.failureDomain;
    }
    std::string operator()(const StoreReachability &) const { return "store reachability"; }
    std::string operator()(const StoreRestored &) const { return "store restored"; }
    std::string operator()(const WeightsWanted &it) const
    {
        return "weights wanted " + it.model + " " + std::to_string(it.version);
    }
    std::string operator()(const WeightsShown &it) const
    {
        return "weights shown " + it.instanceId + " " + it.model;
    }
    std::string operator()(const EnginesLoading &it) const { return "engines loading " + it.node; }
    std::string operator()(const PeerLoads &it) const { return "loads " + it.peer; }
    std::string operator()(const LiveNodes &) const { return "live nodes"; }
    std::string operator()(const KnownNodes &) const { return "known nodes"; }
    std::string operator()(const ContextStoreTold &it) const
    {
        return "context store " + it.news.store;
    }
    std::string operator()(const ContextStoreSilent &it) const { return silenceOf(it.store); }
    std::string operator()(const Informed &) const { return "informed"; }
    std::string operator()(const RequestsHeard &) const { return "requests heard"; }
    std::string operator()(const LimitsHeard &it) const { return "limits " + it.peer; }
    std::string operator()(const DrainingReported &it) const { return "draining " + it.instanceId; }
    std::string operator()(const StopBegins &) const { return "stop"; }
};

bool isSamePart(const StorePartChange &a, const StorePartChange &b)
{
    return a.salt == b.salt && a.partId == b.partId;
}

// Adds what a store tells to what it told before.
void addNews(ContextStoreUpdate &older, ContextStoreUpdate newer)
{
    if (newer.isSnapshot || newer.epoch != older.epoch) {
        older = std::move(newer);
        return;
    }
    older.clock = newer.clock;
    for (StorePartChange &change : newer.changes) {
        const auto same = std::find_if(older.changes.begin(), older.changes.end(),
                                       [&](const auto &it) { return isSamePart(it, change); });
        if (same != older.changes.end())
            *same = std::move(change);
        else
            older.changes.push_back(std::move(change));
    }
}

// All of it is as old as the newer word.
void addWord(ContextStoreTold &older, ContextStoreTold newer)
{
    older.heard = newer.heard;
    older.news.age = newer.news.age;
    addNews(older.news, std::move(newer.news));
}

// News of requests that wait; beyond it the oldest go. As many as a node remembers requests.
constexpr std::size_t kMostRequestNews = 2'048;

void addRequests(std::vector<QuarantineUpdate> &older, const std::vector<QuarantineUpdate> &newer)
{
    older.insert(older.end(), newer.begin(), newer.end());
    if (older.size() > kMostRequestNews)
        older.erase(older.begin(), older.end() - kMostRequestNews);
}

} // namespace

void UpdateQueue::push(FleetUpdate update)
{
    const std::string subject = std::visit(Subject{}, update);
    auto *told = std::get_if<ContextStoreTold>(&update);
    if (told != nullptr)
        drop(silenceOf(told->news.store)); // it answers again
    const auto known = m_bySubject.find(subject);
    if (known == m_bySubject.end()) {
        m_updates.push_back({subject, std::move(update)});
        m_bySubject.emplace(subject, std::prev(m_updates.end()));
        return;
    }
    FleetUpdate &older = known->second->update;
    if (told != nullptr)
        addWord(std::get<ContextStoreTold>(older), std::move(*told));
    else if (const auto *requests = std::get_if<RequestsHeard>(&update))
        addRequests(std::get<RequestsHeard>(older).news, requests->news);
    else
        older = std::move(update);
}

void UpdateQueue::flush(const std::function<bool(const FleetUpdate &)> &take)
{
    while (!m_updates.empty() && take(m_updates.front().update)) {
        m_bySubject.erase(m_updates.front().subject);
        m_updates.pop_front();
    }
}

void UpdateQueue::drop(const std::string &subject)
{
    const auto known = m_bySubject.find(subject);
    if (known == m_bySubject.end())
        return;
    m_updates.erase(known->second);
    m_bySubject.erase(known);
}

} // namespace fordwood::node
