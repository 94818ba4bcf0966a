// SPDX-License-Identifier: MIT
#include "node/quarantine_distributor.hpp"

#include "adapters/observe/event_log.hpp"
#include "node/cbor.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

constexpr std::string_view kPrefix = "fordwood/quarantine/";

// Equals the duration of a quarantine and the longest lease that the platform grants. The key is
// removed when the lease expires.
constexpr Duration kLeaseTtl = std::chrono::minutes(10);

constexpr Duration kRetryPause = std::chrono::milliseconds(700);

// A completed write is visible in the replica of the store within this time.
constexpr Duration kVisibleWithin = std::chrono::seconds(3);

constexpr Duration kSweepInterval = std::chrono::seconds(1);

} // namespace

QuarantineDistributor::QuarantineDistributor(const Clock &clock, StoreClient &store,
                                             const StoreReplica &replica, Publish publish)
    : m_clock(clock), m_store(store), m_replica(replica), m_publish(std::move(publish)),
      m_quarantine(clock), m_gossipQueue(clock)
{ }

std::string QuarantineDistributor::keyOf(const RequestFingerprint &request)
{
    return std::string(kPrefix) + request.text();
}

std::optional<RequestFingerprint> QuarantineDistributor::parseKey(std::string_view key)
{
    if (!key.starts_with(kPrefix))
        return std::nullopt;
    return RequestFingerprint::parse(key.substr(kPrefix.size()));
}

std::string QuarantineDistributor::encodeInstances(const std::vector<std::uint64_t> &instances)
{
    return encodeCbor(instances);
}

std::optional<std::vector<std::uint64_t>>
QuarantineDistributor::decodeInstances(std::string_view bytes)
{
    return decodeCbor<std::vector<std::uint64_t>>(bytes, [](const nlohmann::json &instances) {
        return instances.get<std::vector<std::uint64_t>>();
    });
}

bool QuarantineDistributor::apply(const QuarantineUpdate &update)
{
    const bool wasHeld = m_quarantine.isHeld(update.request);
    if (!m_quarantine.apply(update))
        return false;
    const bool isHeld = m_quarantine.isHeld(update.request);
    if (isHeld && !wasHeld)
        logHeld(update.request);
    if (wasHeld && !isHeld)
        onReleased(update.request);
    return true;
}

void QuarantineDistributor::logHeld(const RequestFingerprint &request)
{
    const bool isOwn = m_ownSuspects.contains(request);
    logEvent(Event::RequestHeld, {{"fingerprint", request.text()},
                                  {"ends", m_quarantine.failedInstancesOf(request).size()},
                                  {"own", isOwn}});
}

void QuarantineDistributor::onReleased(const RequestFingerprint &request)
{
    logEvent(Event::RequestReleased, {{"fingerprint", request.text()}});
    const auto write = m_writes.find(request);
    if (write != m_writes.end())
        write->second.nextAttempt = m_clock.now();
}

void QuarantineDistributor::addOwn(const std::vector<QuarantineUpdate> &updates)
{
    for (const QuarantineUpdate &it : updates) {
        if (it.failedInstance)
            m_ownSuspects.insert(it.request);
        if (apply(it))
            m_gossipQueue.add(it);
    }
}

void QuarantineDistributor::addFromPeer(const std::vector<QuarantineUpdate> &updates, bool forwards)
{
    std::vector<QuarantineUpdate> newUpdates;
    for (const QuarantineUpdate &it : updates) {
        if (!apply(it))
            continue;
        newUpdates.push_back(it);
        if (forwards)
            m_gossipQueue.add(it);
    }
    if (!newUpdates.empty())
        m_publish(std::move(newUpdates));
}

void QuarantineDistributor::addStored(const RequestFingerprint &request,
                                      const std::vector<std::uint64_t> &instances)
{
    std::vector<QuarantineUpdate> updates;
    updates.reserve(instances.size());
    for (const std::uint64_t it : instances)
        updates.push_back({request, it});
    addFromPeer(updates, false);
}

void QuarantineDistributor::tick()
{
    storeHeldRequests();
    removeReleasedRequests();
    if (m_clock.now() < m_nextSweep)
        return;
    m_nextSweep = m_clock.now() + kSweepInterval;
    m_quarantine.tick();
    std::erase_if(m_ownSuspects, [this](const auto &it) { return !m_quarantine.isSuspect(it); });
}

// Writes quarantined requests that are missing in the store. Every node whose own sends made an
// upstream fail does so: these are a few nodes, so that one may be lost. A key is missing again
// if its lease expires while the store is unreachable.
void QuarantineDistributor::storeHeldRequests()
{
    for (const RequestFingerprint &it : m_ownSuspects) {
        if (m_quarantine.isHeld(it) && m_replica.find(keyOf(it)) == nullptr)
            startWrite(it, m_writes[it]);
    }
}

// Removes the keys of released requests. A node that starts quarantines every request that it finds
// in the store, and would reject one that was released by an answer which no node remembers.
void QuarantineDistributor::removeReleasedRequests()
{
    std::erase_if(m_writes, [this](const auto &it) {
        const Write &write = it.second;
        return !write.isPending && !isLeased(write) && !m_quarantine.isHeld(it.first);
    });
    for (auto &[request, write] : m_writes) {
        if (!m_quarantine.isHeld(request) && !write.isPending && m_clock.now() >= write.nextAttempt)
            revokeLease(request, write);
    }
}

void QuarantineDistributor::revokeLease(const RequestFingerprint &request, Write &write)
{
    write.isPending = true;
    m_store.send(platform::revokeCall(write.lease.id), [this, request](const HttpResult &result) {
        if (platform::readRevocation(result))
            m_writes[request].lease = {};
        retryLater(request);
    });
}

void QuarantineDistributor::startWrite(const RequestFingerprint &request, Write &write)
{
    if (write.isPending || m_clock.now() < write.nextAttempt)
        return;
    write.isPending = true;
    if (!isLeased(write))
        grantLease(request);
    else
        putKey(request, write.lease.id);
}

void QuarantineDistributor::retryLater(const RequestFingerprint &request)
{
    Write &write = m_writes[request];
    write.isPending = false;
    write.nextAttempt = m_clock.now() + kRetryPause;
}

void QuarantineDistributor::grantLease(const RequestFingerprint &request)
{
    m_store.send(platform::grantCall(kLeaseTtl), [this, request](const HttpResult &result) {
        const auto granted = platform::readGrant(result);
        if (!granted) {
            retryLater(request);
            return;
        }
        m_writes[request].lease = granted->lease;
        if (m_quarantine.isHeld(request) && isLeased(m_writes[request]))
            putKey(request, granted->lease.id);
        else
            retryLater(request);
    });
}

void QuarantineDistributor::putKey(const RequestFingerprint &request, std::int64_t lease)
{
    // A late write, or one by several nodes, stores the same information.
    const std::string value = encodeInstances(m_quarantine.failedInstancesOf(request));
    m_store.send(platform::putCall(keyOf(request), value, lease, false),
                 [this, request](const HttpResult &result) {
                     const auto answer = platform::readPut(result);
                     if (answer.result == WriteResult::LeaseExpired)
                         m_writes[request].lease = {};
                     retryLater(request);
                     if (answer.result == WriteResult::Done)
                         m_writes[request].nextAttempt = m_clock.now() + kVisibleWithin;
                 });
}

} // namespace fordwood::node
