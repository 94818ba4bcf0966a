// SPDX-License-Identifier: MIT
#include "node/update_queue.hpp"

#include <algorithm>
#include <utility>

namespace fordwood::node {

namespace {

std::string failureSubject(const std::string &store)
{
    return "context store failed " + store;
}

// The subject of an update. A newer update on a subject replaces or extends a queued one.
struct Subject
{
    std::string operator()(const ConfigApplied &) const { return "configuration"; }
    std::string operator()(const UpstreamRecordWritten &it) const
    {
        return "upstream " + it.record.instanceId;
    }
    std::string operator()(const UpstreamRecordRemoved &it) const
    {
        return "upstream " + it.instanceId;
    }
    std::string operator()(const DomainEvacuated &it) const
    {
        return "evacuation " + it.failureDomain;
    }
    std::string operator()(const StoreReachability &) const { return "store reachability"; }
    std::string operator()(const StoreRestored &) const { return "store restored"; }
    std::string operator()(const WeightVersionNamed &it) const
    {
        return "weights named " + it.model + " " + std::to_string(it.version);
    }
    std::string operator()(const WeightsObserved &it) const
    {
        return "weights observed " + it.instanceId + " " + it.model;
    }
    std::string operator()(const EnginesLoading &it) const { return "engines loading " + it.node; }
    std::string operator()(const PeerLoads &it) const { return "loads " + it.peer; }
    std::string operator()(const LiveNodeCount &) const { return "live node count"; }
    std::string operator()(const KnownNodes &) const { return "known nodes"; }
    std::string operator()(const ContextStoreUpdated &it) const
    {
        return "context store " + it.update.store;
    }
    std::string operator()(const ContextStoreFailed &it) const { return failureSubject(it.store); }
    std::string operator()(const ReplicaCompleteness &) const { return "replica completeness"; }
    std::string operator()(const PeerQuarantineUpdates &) const { return "quarantine updates"; }
    std::string operator()(const PeerLimits &it) const { return "limits " + it.peer; }
    std::string operator()(const PeerDrainReport &it) const { return "draining " + it.instanceId; }
    std::string operator()(const ChangesSkipped &) const { return "changes skipped"; }
    // Never replaced: a later check must not overtake the updates that it vouches for.
    std::string operator()(const ReplicaChecked &it) const
    {
        return "replica checked " + std::to_string(it.asOf.time_since_epoch().count());
    }
    std::string operator()(const StopStarted &) const { return "stop"; }
};

bool isSamePart(const StorePartChange &a, const StorePartChange &b)
{
    return a.salt == b.salt && a.partId == b.partId;
}

// Merges a store's newer update into an older one.
void mergeUpdate(ContextStoreUpdate &older, ContextStoreUpdate newer)
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

// The merged update has the age and receipt time of the newer one.
void mergeStoreUpdate(ContextStoreUpdated &older, ContextStoreUpdated newer)
{
    older.receivedAt = newer.receivedAt;
    older.update.age = newer.update.age;
    mergeUpdate(older.update, std::move(newer.update));
}

// Queued quarantine updates; the oldest are dropped beyond this. Equals the number of requests that
// a node remembers.
constexpr std::size_t kMaxQuarantineUpdates = 2'048;

void appendUpdates(std::vector<QuarantineUpdate> &older, const std::vector<QuarantineUpdate> &newer)
{
    older.insert(older.end(), newer.begin(), newer.end());
    if (older.size() > kMaxQuarantineUpdates)
        older.erase(older.begin(), older.end() - kMaxQuarantineUpdates);
}

} // namespace

void UpdateQueue::push(FleetUpdate update)
{
    const std::string subject = std::visit(Subject{}, update);
    auto *storeUpdate = std::get_if<ContextStoreUpdated>(&update);
    if (storeUpdate != nullptr)
        remove(failureSubject(storeUpdate->update.store)); // the store answers again
    // A newer one must not overtake the updates that it vouches for.
    if (std::holds_alternative<ReplicaCompleteness>(update))
        remove(subject);
    const auto queued = m_bySubject.find(subject);
    if (queued == m_bySubject.end()) {
        m_updates.push_back({subject, std::move(update)});
        m_bySubject.emplace(subject, std::prev(m_updates.end()));
        return;
    }
    FleetUpdate &older = queued->second->update;
    if (storeUpdate != nullptr)
        mergeStoreUpdate(std::get<ContextStoreUpdated>(older), std::move(*storeUpdate));
    else if (const auto *quarantineUpdates = std::get_if<PeerQuarantineUpdates>(&update))
        appendUpdates(std::get<PeerQuarantineUpdates>(older).updates, quarantineUpdates->updates);
    else
        older = std::move(update);
}

void UpdateQueue::flush(const std::function<bool(const FleetUpdate &)> &tryTake)
{
    while (!m_updates.empty() && tryTake(m_updates.front().update)) {
        m_bySubject.erase(m_updates.front().subject);
        m_updates.pop_front();
    }
}

void UpdateQueue::remove(const std::string &subject)
{
    const auto queued = m_bySubject.find(subject);
    if (queued == m_bySubject.end())
        return;
    m_updates.erase(queued->second);
    m_bySubject.erase(queued);
}

} // namespace fordwood::node
