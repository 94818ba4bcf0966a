// SPDX-License-Identifier: MIT
#include "node/replica_fetcher.hpp"

#include <algorithm>
#include <charconv>

#include <boost/beast/core/string.hpp>

#include "adapters/observe/event_log.hpp"
#include "fordwood/backoff_text.hpp"
#include "fordwood/rendezvous.hpp"
#include "node/packing.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

// A node whose own watch works gets changes from it. It asks a peer only if a change does not
// arrive within this time.
constexpr Duration kWaitForWatch = std::chrono::milliseconds(150);

// Time between two reads of a peer's replica: the nodes of a starting fleet write hundreds of keys
// one by one.
constexpr Duration kFetchPause = std::chrono::milliseconds(200);

constexpr Duration kFetchTimeout = std::chrono::milliseconds(800);

// Peers send as many snapshots at once as their links carry in a second.
constexpr Duration kSnapshotTimeout = std::chrono::seconds(2);

// A peer that no longer has the changes since this node's version sends all keys. Where these do
// not arrive in time, they are read as a snapshot, which is smaller.
constexpr std::size_t kUnansweredBeforeSnapshot = 2;

constexpr Duration kMaxSnapshotPause = std::chrono::seconds(2);

constexpr Duration kSeedPause = std::chrono::milliseconds(300);

constexpr std::string_view kEpochParameter = "&epoch=";

// Longer than a change usually takes to all nodes.
constexpr Duration kLongBehind = std::chrono::seconds(2);

template <typename Number>
bool parseNumber(std::string_view text, Number &number)
{
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    return ec == std::errc() && end == text.data() + text.size();
}

} // namespace

std::string ReplicaFetcher::targetSince(const StoreVersion &version)
{
    std::string target = std::string(kTarget) + std::to_string(version.revision);
    if (version.epoch > 0)
        target += std::string(kEpochParameter) + std::to_string(version.epoch);
    return target;
}

std::optional<StoreVersion> ReplicaFetcher::parseTarget(std::string_view target)
{
    if (!target.starts_with(kTarget))
        return std::nullopt;
    target.remove_prefix(kTarget.size());
    const std::size_t epochAt = std::min(target.find(kEpochParameter), target.size());
    StoreVersion version;
    if (!parseNumber(target.substr(0, epochAt), version.revision) || version.revision < 0)
        return std::nullopt;
    target.remove_prefix(epochAt);
    if (!target.empty() && !parseNumber(target.substr(kEpochParameter.size()), version.epoch))
        return std::nullopt;
    return version;
}

void ReplicaFetcher::setSeeds(std::vector<std::string> seeds, std::string self)
{
    m_seeds = std::move(seeds);
    m_self = std::move(self);
    m_nextSeedFetch = m_clock.now() + kSeedPause;
}

void ReplicaFetcher::tick(const PeerRoster &roster, bool reachesStore)
{
    const TimePoint now = m_clock.now();
    // A seed's replica may lack the keys of peers that have just started, so seeds are asked until
    // a message from a peer arrives.
    const bool hasNoPeers = !reachesStore && roster.livePeers().empty();
    if ((m_replica.isEmpty() || hasNoPeers) && now >= m_nextSeedFetch)
        fetchFromSeed();
    const auto ahead = roster.findPeerAheadOf(m_replica.version());
    reportLag(ahead);
    if (!ahead) {
        m_isBehind = false;
        return;
    }
    if (!m_isBehind)
        m_behindSince = now;
    m_isBehind = true;
    if (reachesStore && now - m_behindSince < kWaitForWatch)
        return;
    if (now >= m_nextFetch)
        fetchFrom(ahead->address);
}

void ReplicaFetcher::fetchFromSeed()
{
    m_nextSeedFetch = m_clock.now() + kSeedPause;
    if (m_seeds.empty())
        return;
    m_nextSeed = (m_nextSeed + 1) % m_seeds.size();
    if (m_seeds[m_nextSeed] != m_self)
        fetchFrom(m_seeds[m_nextSeed]);
}

void ReplicaFetcher::fetchFrom(const std::string &address)
{
    if (m_isFetching)
        return;
    m_isFetching = true;
    m_nextFetch = m_clock.now() + kFetchPause;
    HttpCall call;
    call.address = address;
    call.method = "GET";
    const bool needsSnapshot
        = m_replica.isEmpty() || m_unansweredFetches >= kUnansweredBeforeSnapshot;
    const bool isSnapshot = needsSnapshot && !m_withoutSnapshots.contains(address);
    call.target = isSnapshot ? std::string(kSnapshotTarget) : targetSince(m_replica.version());
    m_client.send(call, isSnapshot ? kSnapshotTimeout : kFetchTimeout,
                  [this, address, isSnapshot, askedAt = m_clock.now()](const HttpResult &result) {
                      onFetched(address, isSnapshot, askedAt, result);
                  });
}

// While changes follow each other, some peer is always ahead. What counts is how long this node has
// lacked one that it knows of.
void ReplicaFetcher::reportLag(const std::optional<PeerAhead> &ahead)
{
    const TimePoint now = m_clock.now();
    if (m_lacking && m_replica.version() >= m_lacking->version) {
        if (m_lacking->isReported)
            logEvent(Event::ReplicaCaughtUp, {{"behind_ms", now - m_lacking->since},
                                              {"revision", m_replica.version().revision}});
        m_lacking.reset();
        m_metrics.setGauge("fordwood_replica_behind_seconds", 0.0);
    }
    if (!ahead)
        return;
    if (!m_lacking)
        m_lacking = {ahead->version, now, now + kLongBehind};
    m_metrics.setGauge("fordwood_replica_behind_seconds",
                       std::chrono::duration<double>(now - m_lacking->since).count());
    if (now < m_lacking->nextReport)
        return;
    m_lacking->nextReport = now + kLongBehind;
    m_lacking->isReported = true;
    logEvent(Event::ReplicaBehind, {{"behind_ms", now - m_lacking->since},
                                    {"revision", m_replica.version().revision},
                                    {"lacks", m_lacking->version.revision},
                                    {"peer", ahead->address},
                                    {"unanswered", m_unansweredFetches}});
}

void ReplicaFetcher::onFetched(const std::string &address, bool isSnapshot, TimePoint askedAt,
                               const HttpResult &result)
{
    constexpr unsigned kOk = 200;
    constexpr unsigned kNotFound = 404;
    m_isFetching = false;
    m_unansweredFetches = result ? 0 : m_unansweredFetches + 1;
    if (!result || result->status != kOk) {
        m_metrics.count("fordwood_replica_read_failures_total");
        logEvent(Event::ReplicaReadFailed,
                 {{"peer", address},
                  {"snapshot", isSnapshot},
                  {"status", result ? result->status : 0U},
                  {"sent", result || result.error() == HttpFailure::NoAnswer},
                  {"waited_ms", m_clock.now() - askedAt},
                  {"unanswered", m_unansweredFetches}});
    }
    if (!result)
        return; // a later tick tries again, possibly with another peer
    if (isSnapshot && result->status == kNotFound)
        m_withoutSnapshots.insert(address);
    if (result->status != kOk) {
        pauseFetches(*result);
        return;
    }
    const auto unpacked = isSnapshot ? unpack(result->body) : std::optional(result->body);
    const auto part = unpacked ? decodeReplicaPart(*unpacked) : std::nullopt;
    if (!part) {
        logEvent(Event::ReplicaDamaged, {{"peer", address}, {"bytes", result->body.size()}});
        return;
    }
    logEvent(Event::ReplicaFetched, {{"peer", address},
                                     {"since", part->changes.since},
                                     {"epoch", part->changes.epoch},
                                     {"revision", part->changes.revision},
                                     {"items", part->changes.items.size()}});
    m_metrics.count("fordwood_replica_fetches_total");
    m_onPart(*part);
}

// A peer that sends as many snapshots as its link carries says when to come back. The nodes that it
// has turned away come back one after the other.
void ReplicaFetcher::pauseFetches(const HttpReply &reply)
{
    ParsedBackoff backoff;
    for (const auto &[name, value] : reply.fields) {
        if (boost::beast::iequals(name, "Retry-After"))
            addBackoffField(value, backoff);
    }
    if (!backoff.length)
        return;
    m_deferrals += 1;
    const double spread = 0.5 + hashFraction(stableHash(m_self, m_deferrals));
    const Duration pause = std::chrono::duration_cast<Duration>(
        spread * std::chrono::duration<double>(std::min(*backoff.length, kMaxSnapshotPause)));
    m_nextFetch = m_clock.now() + pause;
    m_nextSeedFetch = m_nextFetch;
}

} // namespace fordwood::node
