// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_UPSTREAM_DIRECTORY_HPP_INCLUDED
#define FORDWOOD_UPSTREAM_DIRECTORY_HPP_INCLUDED

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/observed_weights.hpp"
#include "fordwood/served_versions.hpp"
#include "fordwood/upstream_record.hpp"

namespace fordwood {

// Tracks which upstreams may be sent requests. While the platform's store is unreachable, records
// may expire although their upstreams live; such a record stays in use for a while after the store
// is back. Each call costs as much as what it changes or returns, however many upstreams there are.
class UpstreamDirectory
{
public:
    struct Limits
    {
        // Time that upstreams need to publish their records again once the store is back: two
        // seconds according to the platform's documentation, plus the time until a change is seen.
        Duration republishWithin = std::chrono::milliseconds(2'300);
        // An engine whose weights have changed updates its record within this time, or is gone:
        // three of its heartbeats, plus the time until a change is seen.
        Duration recordUpdateWithin = std::chrono::seconds(5);
    };

    UpstreamDirectory(const Clock &clock, Limits limits)
        : m_clock(clock), m_limits(limits), m_versions(clock), m_reachableSince(clock.now())
    { }
    UpstreamDirectory(const UpstreamDirectory &) = delete;
    UpstreamDirectory &operator=(const UpstreamDirectory &) = delete;

    // An upstream has published its record.
    void put(UpstreamRecord record);

    // The record was removed. `mayBeExpiry`: it is unknown whether the upstream has left or its
    // lease expired while the store was unreachable.
    void remove(const std::string &instanceId, bool mayBeExpiry);

    // An answer has reported that the upstream is draining. That holds for the rest of the
    // instance's life, whatever its record says, as records cannot be written while the platform's
    // store is unreachable. Returns false if this was known already or the upstream is unknown.
    bool reportDraining(const std::string &instanceId);

    // The upstreams that their answers reported as draining.
    std::vector<std::string> reportedDraining() const
    {
        return {m_reportedDraining.begin(), m_reportedDraining.end()};
    }

    // Whether the service has upstreams that are draining.
    bool hasDraining(const std::string &service) const;

    // Starts or ends the evacuation of a failure domain, as operators request it. Its upstreams get
    // no new requests; running ones finish.
    void setEvacuated(const std::string &failureDomain, bool isEvacuated);
    std::size_t evacuatedDomains() const { return m_evacuated.size(); }

    // Whether the service has upstreams that are unusable only because of an evacuation.
    bool hasEvacuated(const std::string &service) const;

    // Sets whether any node reaches the store. While none does, no upstream is considered gone.
    void setStoreReachable(bool reachable);

    // The store was restored from a snapshot: restarts the time that upstreams have to publish
    // their records again.
    void storeRestored() { m_reachableSince = m_clock.now(); }

    // Removes the upstreams that did not publish their expired records again in time. Returns their
    // ids.
    std::vector<std::string> tick();

    // Whether the upstream is known and accepts new requests.
    bool takesNewWork(const std::string &instanceId) const;

    // The upstreams of a service that accept new requests, in the order of their instance ids.
    std::vector<const UpstreamRecord *> usable(const std::string &service) const;

    // The software versions of the upstreams, whether they accept new requests or not.
    ServedVersions &versions() { return m_versions; }

    // Null if the instance is unknown.
    const UpstreamRecord *find(const std::string &instanceId) const;

    // An answer has shown that the engine runs these weights, which its record may not list yet.
    // The version is used until the record lists it, or should list it by now. Returns false if
    // nothing changes, for example because newer information is known.
    bool setWeightVersion(const std::string &instanceId, const std::string &model,
                          const ObservedWeights &weights);

    // An answer has shown that the engine does not run these weights, but not which ones it runs.
    // No version is assumed until newer information arrives, or its record should have been
    // updated. Returns false as above.
    bool rejectWeights(const std::string &instanceId, const std::string &model,
                       const ObservedWeights &rejected);

    // Whether the version is assumed although the engine's record does not list it yet.
    bool isAheadOfRecord(const std::string &instanceId, const std::string &model,
                         std::uint64_t version) const;

    // The upstreams that were added, removed or changed since the last call.
    std::set<std::string> takeChanged() { return std::exchange(m_changed, {}); }

    std::size_t size() const { return m_entries.size(); }

    // Entries looked at by all calls of tick() so far.
    std::uint64_t entriesVisited() const { return m_entriesVisited; }

private:
    // What is known about an engine's weights of one model.
    struct Weights
    {
        std::optional<std::uint64_t>
            recorded; // version in the record; nothing: the model is not listed
        TimePoint recordedAt{}; // when the record was read
        std::optional<ObservedWeights> observed; // by an answer, if it differs from the record
        std::optional<TimePoint> rejectedAt; // when an answer ruled out the assumed version
        TimePoint lastObserved{}; // time of the newest answer used; older ones are ignored
    };
    struct Entry
    {
        UpstreamRecord record; // with the weight versions that are assumed
        std::map<std::string, Weights> weights; // by model
    };
    using Entries = std::map<std::string, Entry>;

    bool isUsable(const UpstreamRecord &record) const;
    bool isRecordDue(const ObservedWeights &observed) const;
    Weights mergeObserved(const Entry &entry, const std::string &model,
                          std::uint64_t recorded) const;
    static bool isNewer(const Weights &weights, const ObservedWeights &seen);
    bool dropUnconfirmed(Entry &entry);
    void erase(Entries::iterator entry);
    template <typename Predicate>
    bool anyOfService(const std::string &service, Predicate predicate) const;

    const Clock &m_clock;
    const Limits m_limits;
    Entries m_entries; // by instance id
    std::map<std::string, std::map<std::string_view, Entry *>> m_services; // by service and id
    ServedVersions m_versions;
    std::set<std::string> m_unconfirmed; // with weights that an answer has shown or ruled out
    std::set<std::string> m_reportedDraining;
    std::set<std::string> m_expired; // records gone, perhaps as the store was unreachable
    std::set<std::string> m_changed;
    std::uint64_t m_entriesVisited = 0;
    std::set<std::string> m_evacuated; // failure domains
    bool m_storeReachable = true;
    TimePoint m_reachableSince; // when the store became reachable; initially the start of this node
};

} // namespace fordwood

#endif // FORDWOOD_UPSTREAM_DIRECTORY_HPP_INCLUDED
