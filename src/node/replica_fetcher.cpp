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

constexpr Duration kMaxSnapshotPause = std::chrono::seconds(2);

constexpr Duration kSeedPause = std::chrono::milliseconds(300);

constexpr std::string_view kEpochParameter = "&epoch=";

// Longer than a change usually takes to all nodes.
constexpr Duration kLongBehind = std::chrono::seconds(2);

// A node that lacks a change for long, although it has asked more than one peer, reads the store
// itself. Both hold it back where all nodes of a failure domain are in this state.
constexpr std::size_t kFailuresBeforeStoreRead = 2;
constexpr Duration kStoreReadPause = std::chrono::seconds(1);

template <typename Number>
bool parseNumber(std::string_view text, Number &number)
{
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    return ec == std::errc() && end == text.data() + text.size();
}

ReplicaReadPlan::Outcome outcomeOf(const ReplicaReadPlan::Read &read, const HttpResult &result)
{
    using Outcome = ReplicaReadPlan::Outcome;
    constexpr unsigned kOk = 200;
    constexpr unsigned kNotFound = 404;
    if (!result)
        return result.error() == HttpFailure::AnswerCut ? Outcome::Cut : Outcome::Silent;
    if (result->status == kOk)
        return Outcome::Done;
    const bool isSnapshot = read.kind == ReplicaReadPlan::Kind::Snapshot;
    return isSnapshot && result->status == kNotFound ? Outcome::NoSnapshots : Outcome::Rejected;
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

void ReplicaFetcher::setSources(std::vector<std::string> sources)
{
    if (m_sources.empty() && !sources.empty())
        m_nextSeedFetch = m_clock.now();
    m_sources = std::move(sources);
}

void ReplicaFetcher::tick(const PeerRoster &roster, bool reachesStore)
{
    const TimePoint now = m_clock.now();
    const auto ahead = roster.findPeersAheadOf(m_replica.version());
    reportLag(ahead.empty() ? std::nullopt : std::optional(ahead.front()));
    if (ahead.empty())
        m_behindSince.reset();
    else if (!m_behindSince)
        m_behindSince = now;
    // A seed's replica may lack the keys of peers that have just started, so seeds are asked until
    // a message from a peer arrives.
    const bool hasNoPeers = !reachesStore && roster.livePeers().empty();
    std::vector<std::string> addresses;
    if ((m_replica.isEmpty() || hasNoPeers) && now >= m_nextSeedFetch)
        addresses = nextSeeds();
    const bool waitsForWatch
        = reachesStore && m_behindSince && now - *m_behindSince < kWaitForWatch;
    if (m_behindSince && !waitsForWatch && now >= m_nextFetch) {
        for (const PeerAhead &it : ahead)
            addresses.push_back(it.address);
    }
    if (m_isFetching || addresses.empty())
        return;
    if (const auto read = m_plan.next(addresses, m_replica.isEmpty()))
        fetch(*read);
}

// The sources, then the seeds, starting with another seed each time.
std::vector<std::string> ReplicaFetcher::nextSeeds()
{
    m_nextSeedFetch = m_clock.now() + kSeedPause;
    std::vector<std::string> seeds = m_sources;
    m_nextSeed += 1;
    for (std::size_t n = 0; n < m_seeds.size(); ++n) {
        const std::string &seed = m_seeds[(m_nextSeed + n) % m_seeds.size()];
        if (seed != m_self)
            seeds.push_back(seed);
    }
    return seeds;
}

bool ReplicaFetcher::takeOverdue()
{
    const TimePoint now = m_clock.now();
    if (!m_lacking || now < m_lacking->nextStoreRead
        || m_plan.failures() < kFailuresBeforeStoreRead)
        return false;
    m_lacking->nextStoreRead = now + kStoreReadPause;
    return true;
}

void ReplicaFetcher::fetch(const ReplicaReadPlan::Read &read)
{
    m_isFetching = true;
    m_nextFetch = m_clock.now() + kFetchPause;
    HttpCall call;
    call.address = read.address;
    call.method = "GET";
    const bool isSnapshot = read.kind == ReplicaReadPlan::Kind::Snapshot;
    call.target = isSnapshot ? std::string(kSnapshotTarget) : targetSince(m_replica.version());
    m_client.send(call, isSnapshot ? kSnapshotTimeout : kFetchTimeout,
                  [this, read, askedAt = m_clock.now()](const HttpResult &result) {
                      onFetched(read, askedAt, result);
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
        m_lacking = {ahead->version, now, now + kLongBehind, now + kLongBehind};
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
                                    {"failures", m_plan.failures()}});
}

void ReplicaFetcher::onFetched(const ReplicaReadPlan::Read &read, TimePoint askedAt,
                               const HttpResult &result)
{
    m_isFetching = false;
    const bool isSnapshot = read.kind == ReplicaReadPlan::Kind::Snapshot;
    const auto outcome = outcomeOf(read, result);
    m_plan.ended(read, outcome, result ? pauseIn(*result) : std::nullopt);
    if (outcome != ReplicaReadPlan::Outcome::Done) {
        m_metrics.count("fordwood_replica_read_failures_total");
        logEvent(Event::ReplicaReadFailed,
                 {{"peer", read.address},
                  {"snapshot", isSnapshot},
                  {"status", result ? result->status : 0U},
                  {"sent", result || result.error() != HttpFailure::NotSent},
                  {"cut", outcome == ReplicaReadPlan::Outcome::Cut},
                  {"waited_ms", m_clock.now() - askedAt},
                  {"failures", m_plan.failures()}});
        return;
    }
    const auto unpacked = isSnapshot ? unpack(result->body) : std::optional(result->body);
    const auto part = unpacked ? decodeReplicaPart(*unpacked) : std::nullopt;
    if (!part) {
        logEvent(Event::ReplicaDamaged, {{"peer", read.address}, {"bytes", result->body.size()}});
        return;
    }
    logEvent(Event::ReplicaFetched, {{"peer", read.address},
                                     {"since", part->changes.since},
                                     {"epoch", part->changes.epoch},
                                     {"revision", part->changes.revision},
                                     {"items", part->changes.items.size()}});
    m_metrics.count("fordwood_replica_fetches_total");
    m_onPart(*part);
}

// A peer that sends as many snapshots as its link carries says when to come back. The nodes that it
// has turned away come back one after the other.
std::optional<Duration> ReplicaFetcher::pauseIn(const HttpReply &reply)
{
    ParsedBackoff backoff;
    for (const auto &[name, value] : reply.fields) {
        if (boost::beast::iequals(name, "Retry-After"))
            addBackoffField(value, backoff);
    }
    if (!backoff.length)
        return std::nullopt;
    m_deferrals += 1;
    const double spread = 0.5 + hashFraction(stableHash(m_self, m_deferrals));
    return std::chrono::duration_cast<Duration>(
        spread * std::chrono::duration<double>(std::min(*backoff.length, kMaxSnapshotPause)));
}

} // namespace fordwood::node
