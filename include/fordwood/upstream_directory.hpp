// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_UPSTREAM_DIRECTORY_HPP_INCLUDED
#define FORDWOOD_UPSTREAM_DIRECTORY_HPP_INCLUDED

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/observed_weights.hpp"
#include "fordwood/upstream_record.hpp"

namespace fordwood {

// Which upstreams may be sent to. Knows that records expire while the platform's store is away
// although their upstreams live: such a record stays in use for a while after the store's return.
class UpstreamDirectory
{
public:
    struct Limits
    {
        // How long after the store's return upstreams need to write themselves again.
        // Two seconds by the platform's pages, and what a change needs to be seen.
        Duration republishWithin = std::chrono::milliseconds(2'300);
        // An engine writes its record anew within this after its weights have changed, or is gone:
        // three of its heartbeats, and what a change needs to be seen.
        Duration recordUpdateWithin = std::chrono::seconds(5);
    };

    UpstreamDirectory(const Clock &clock, Limits limits)
        : m_clock(clock), m_limits(limits), m_reachableSince(clock.now())
    { }

    // An upstream has written its record.
    void put(UpstreamRecord record);

    // The record is gone. `mayBeExpiry`: whoever saw it could not tell an upstream that has left
    // from a lease that ran out while the store was away.
    void remove(const std::string &instanceId, bool mayBeExpiry);

    // The upstream says in an answer that it is draining. That holds for the rest of its life,
    // whatever its record says: nothing is written while the platform's store is away. False: it
    // is known, or the upstream is not.
    bool reportDraining(const std::string &instanceId);

    // The upstreams that are draining by their answers.
    std::vector<std::string> reportedDraining() const;

    // Whether the service has upstreams that are draining.
    bool hasDraining(const std::string &service) const;

    // Operators want nothing new sent to the upstreams of the failure domain, or have taken that
    // back. What runs there ends by itself.
    void setEvacuated(const std::string &failureDomain, bool isEvacuated);
    std::size_t evacuatedDomains() const { return m_evacuated.size(); }

    // Whether the service has upstreams that would be usable but for an evacuation.
    bool hasEvacuated(const std::string &service) const;

    // Whether the store answers any node. While it does not, nothing is taken as gone.
    void setStoreReachable(bool reachable);

    // The store was restored from a snapshot: the time that upstreams have to write themselves
    // again begins anew.
    void storeRestored() { m_reachableSince = m_clock.now(); }

    // Takes as gone what has not come back in time. Returns the ids.
    std::vector<std::string> tick();

    // Whether the upstream is known and may be sent new work.
    bool takesNewWork(const std::string &instanceId) const;

    // The upstreams of a service that take new work, by instance id.
    std::vector<const UpstreamRecord *> usable(const std::string &service) const;

    // All engines that are not leaving, evacuated ones too.
    std::vector<const UpstreamRecord *> stayingEngines() const;

    // Null when the instance is gone.
    const UpstreamRecord *find(const std::string &instanceId) const;

    // The engine was seen to run these weights, which its record may not say yet. Holds until the
    // record says so, or would have said so if it were still true. False when it tells nothing new:
    // something later is known.
    bool setWeightVersion(const std::string &instanceId, const std::string &model,
                          const ObservedWeights &weights);

    // The engine was seen not to run these weights, and did not say which. Until something later is
    // known, or its record would say so, none are believed. False as above.
    bool rejectWeights(const std::string &instanceId, const std::string &model,
                       const ObservedWeights &rejected);

    // Whether the version is believed although the engine's record does not say so yet.
    bool isAheadOfRecord(const std::string &instanceId, const std::string &model,
                         std::uint64_t version) const;

    // Whether weights have changed without a record since the last call.
    bool takeWeightsChanged() { return std::exchange(m_weightsChanged, false); }

    std::size_t size() const { return m_entries.size(); }

private:
    // What is known of an engine's weights of one model.
    struct Weights
    {
        std::optional<std::uint64_t> recorded; // by the record; nothing: it does not name the model
        TimePoint recordedAt{}; // when the record was
        std::optional<ObservedWeights> observed; // otherwise than told
        std::optional<TimePoint> rejectedAt; // since when neither is believed
        TimePoint lastObserved{}; // by an answer; what was seen before counts no more
    };
    struct Entry
    {
        UpstreamRecord record; // with the weights that are believed
        std::map<std::string, Weights> weights; // by model
        bool reportedDraining = false; // by an answer
        bool expired = false; // its record is gone, but perhaps only for the store's absence
    };

    bool isUsable(const UpstreamRecord &record) const;
    bool isRecordDue(const ObservedWeights &observed) const;
    Weights mergeObserved(const Entry &entry, const std::string &model,
                          std::uint64_t recorded) const;
    static bool isNewer(const Weights &weights, const ObservedWeights &seen);
    void dropUnconfirmed(Entry &entry);

    const Clock &m_clock;
    const Limits m_limits;
    std::map<std::string, Entry> m_entries;
    std::set<std::string> m_evacuated; // failure domains
    bool m_storeReachable = true;
    TimePoint m_reachableSince; // since the store answers, as far as known; from its start at most
    bool m_weightsChanged = false;
};

} // namespace fordwood

#endif // FORDWOOD_UPSTREAM_DIRECTORY_HPP_INCLUDED
