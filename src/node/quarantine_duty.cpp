// SPDX-License-Identifier: MIT
#include "node/quarantine_duty.hpp"

#include "adapters/observe/event_log.hpp"
#include "node/cbor.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

constexpr std::string_view kPrefix = "fordwood/quarantine/";

// As long as a hold lasts, and the longest that the platform grants; after it the key goes.
constexpr Duration kLease = std::chrono::minutes(10);

constexpr Duration kRetryPause = std::chrono::milliseconds(700);

// A write that was done shows in the copy of the store within this.
constexpr Duration kShowsAfter = std::chrono::seconds(3);

constexpr Duration kSweepEvery = std::chrono::seconds(1);

} // namespace

QuarantineDuty::QuarantineDuty(const Clock &clock, StoreLink &store, const StoreReplica &replica,
                               Tell tell)
    : m_clock(clock), m_store(store), m_replica(replica), m_tell(std::move(tell)),
      m_quarantine(clock), m_spreader(clock)
{ }

std::string QuarantineDuty::keyOf(const RequestFingerprint &request)
{
    return std::string(kPrefix) + request.text();
}

std::optional<RequestFingerprint> QuarantineDuty::requestOf(std::string_view key)
{
    if (!key.starts_with(kPrefix))
        return std::nullopt;
    return RequestFingerprint::parse(key.substr(kPrefix.size()));
}

std::string QuarantineDuty::encodeLives(const std::vector<std::uint64_t> &lives)
{
    return encodeCbor(lives);
}

std::optional<std::vector<std::uint64_t>> QuarantineDuty::decodeLives(std::string_view bytes)
{
    return decodeCbor<std::vector<std::uint64_t>>(
        bytes, [](const nlohmann::json &lives) { return lives.get<std::vector<std::uint64_t>>(); });
}

bool QuarantineDuty::take(const QuarantineUpdate &news)
{
    const bool wasHeld = m_quarantine.isHeld(news.request);
    if (!m_quarantine.apply(news))
        return false;
    const bool isHeld = m_quarantine.isHeld(news.request);
    if (isHeld && !wasHeld)
        noteHeld(news.request);
    if (wasHeld && !isHeld)
        noteReleased(news.request);
    return true;
}

void QuarantineDuty::noteHeld(const RequestFingerprint &request)
{
    const bool isOwn = m_own.contains(request);
    logEvent(Event::RequestHeld, {{"fingerprint", request.text()},
                                  {"ends", m_quarantine.failedInstancesOf(request).size()},
                                  {"own", isOwn}});
}

void QuarantineDuty::noteReleased(const RequestFingerprint &request)
{
    logEvent(Event::RequestReleased, {{"fingerprint", request.text()}});
    const auto write = m_writes.find(request);
    if (write != m_writes.end())
        write->second.next = m_clock.now();
}

void QuarantineDuty::takeOwn(const std::vector<QuarantineUpdate> &news)
{
    for (const QuarantineUpdate &it : news) {
        if (it.failedInstance)
            m_own.insert(it.request);
        if (take(it))
            m_spreader.add(it);
    }
}

void QuarantineDuty::takeHeard(const std::vector<QuarantineUpdate> &news, bool passesOn)
{
    std::vector<QuarantineUpdate> unknown;
    for (const QuarantineUpdate &it : news) {
        if (!take(it))
            continue;
        unknown.push_back(it);
        if (passesOn)
            m_spreader.add(it);
    }
    if (!unknown.empty())
        m_tell(std::move(unknown));
}

void QuarantineDuty::takeStored(const RequestFingerprint &request,
                                const std::vector<std::uint64_t> &lives)
{
    std::vector<QuarantineUpdate> news;
    news.reserve(lives.size());
    for (const std::uint64_t it : lives)
        news.push_back({request, it});
    takeHeard(news, false);
}

void QuarantineDuty::tick()
{
    writeHeld();
    takeBackReleased();
    if (m_clock.now() < m_nextSweep)
        return;
    m_nextSweep = m_clock.now() + kSweepEvery;
    m_quarantine.tick();
    std::erase_if(m_own, [this](const auto &it) { return !m_quarantine.isSuspect(it); });
}

// The nodes under whose sends upstreams ended see to it that a held request stands in the store: a
// few, so that one may be lost. A lease that runs out while the store is away takes the key along.
void QuarantineDuty::writeHeld()
{
    for (const RequestFingerprint &it : m_own) {
        if (m_quarantine.isHeld(it) && m_replica.find(keyOf(it)) == nullptr)
            carryOut(it, m_writes[it]);
    }
}

// A node that starts takes what stands in the store for held from then on, and would refuse a
// request that an answer has released, with nobody left who remembers the answer.
void QuarantineDuty::takeBackReleased()
{
    std::erase_if(m_writes, [this](const auto &it) {
        const Write &write = it.second;
        return !write.isBusy && !isLeased(write) && !m_quarantine.isHeld(it.first);
    });
    for (auto &[request, write] : m_writes) {
        if (!m_quarantine.isHeld(request) && !write.isBusy && m_clock.now() >= write.next)
            takeBack(request, write);
    }
}

void QuarantineDuty::takeBack(const RequestFingerprint &request, Write &write)
{
    write.isBusy = true;
    m_store.send(platform::revokeCall(write.lease.id), [this, request](const HttpResult &result) {
        if (platform::readRevocation(result))
            m_writes[request].lease = {};
        retry(request);
    });
}

void QuarantineDuty::carryOut(const RequestFingerprint &request, Write &write)
{
    if (write.isBusy || m_clock.now() < write.next)
        return;
    write.isBusy = true;
    if (!isLeased(write))
        grant(request);
    else
        put(request, write.lease.id);
}

void QuarantineDuty::retry(const RequestFingerprint &request)
{
    Write &write = m_writes[request];
    write.isBusy = false;
    write.next = m_clock.now() + kRetryPause;
}

void QuarantineDuty::grant(const RequestFingerprint &request)
{
    m_store.send(platform::grantCall(kLease), [this, request](const HttpResult &result) {
        const auto granted = platform::readGrant(result);
        if (!granted) {
            retry(request);
            return;
        }
        m_writes[request].lease = granted->lease;
        if (m_quarantine.isHeld(request) && isLeased(m_writes[request]))
            put(request, granted->lease.id);
        else
            retry(request);
    });
}

void QuarantineDuty::put(const RequestFingerprint &request, std::int64_t lease)
{
    // A write that is done late, or by several nodes, says the same.
    const std::string value = encodeLives(m_quarantine.failedInstancesOf(request));
    m_store.send(platform::putCall(keyOf(request), value, lease, false),
                 [this, request](const HttpResult &result) {
                     const auto answer = platform::readPut(result);
                     if (answer.result == WriteResult::LeaseExpired)
                         m_writes[request].lease = {};
                     retry(request);
                     if (answer.result == WriteResult::Done)
                         m_writes[request].next = m_clock.now() + kShowsAfter;
                 });
}

} // namespace fordwood::node
