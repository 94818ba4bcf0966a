// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_OLD_CONTEXT_CLEANER_HPP_INCLUDED
#define FORDWOOD_OLD_CONTEXT_CLEANER_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/context_directory.hpp"
#include "fordwood/fenced_lock.hpp"
#include "fordwood/weight_history.hpp"

namespace fordwood {

// Time limits that nodes and the OldContextCleaner must agree on, so that no part is freed while it
// may still be fetched.
struct OldContextTimes
{
    // How long context of old weights is still fetched after newer weights were named. The time
    // differs between parts, by a hash of the part's id, because engines change to the new weights
    // one after the other over about this period. So all requests for one context change over
    // together, requests for other contexts are still served from the stores, and the stores free
    // their space gradually.
    static constexpr Duration kMinUseTime = std::chrono::milliseconds(3'500);
    static constexpr Duration kMaxUseTime = std::chrono::seconds(10);
    static Duration useTimeOf(const std::string &partId);
    // The longest time between the first node that learns of newer weights and the last one that
    // still fetches: a node stops fetching when it can reach neither the platform's store nor a
    // peer, which it detects within this time.
    static constexpr Duration kMaxLearnDelay = std::chrono::seconds(3);
    // How long after its request was sent a fetch may still run; engines reject later ones.
    static constexpr Duration kMaxFetchTime = std::chrono::milliseconds(1'500);
    // For messages in transit.
    static constexpr Duration kMargin = std::chrono::milliseconds(500);
    // No node reads the part any more once this time has passed since newer weights were named.
    static Duration unusedAfter(const std::string &partId)
    {
        return useTimeOf(partId) + kMaxLearnDelay + kMaxFetchTime + kMargin;
    }
};

// A call that asks a store to free parts. It has no effect if the store has restarted since
// `epoch`.
struct FreePartsCall
{
    std::string store;
    std::uint64_t epoch = 0;
    std::vector<std::pair<std::string, std::string>> parts; // salt and id
    // By salt, for the log: time since newer weights were named, at least.
    std::map<std::string, Duration> supersededFor = {};
};

// Frees context of old weights in the context stores, which drop nothing on their own and have no
// record of their readers. Only the holder of the lock does so, and only after the times in
// OldContextTimes: by then no node starts such a fetch, and none that was started still runs.
class OldContextCleaner
{
public:
    explicit OldContextCleaner(const Clock &clock) : m_clock(clock) { }

    // Sets the weight versions that were named for the model.
    void setWeights(const std::string &model, const WeightHistory &history);

    void storeAnswered(const ContextStoreUpdate &update);
    void storeFailed(const std::string &store);

    // Calls to send now; none unless this node holds the lock.
    std::vector<FreePartsCall> tick(const std::optional<FencedLock::Holding> &holding);

    // A call has ended; `done`: the store has freed the parts.
    void freeAnswered(const FreePartsCall &call, bool done);

private:
    struct Store
    {
        std::uint64_t epoch = 0;
        bool answers = false;
        bool isCallPending = false;
        TimePoint retryAt{}; // pause after each call
        std::map<std::string, std::set<std::string>> parts; // ids by salt
    };
    // Since when the salt's weights have been old; empty if they are not.
    std::optional<TimePoint> oldSince(const std::string &salt) const;
    void addUnusedParts(const Store &store, FreePartsCall &action) const;

    const Clock &m_clock;
    std::map<std::string, Store> m_stores; // by name
    std::map<std::uint64_t, WeightHistory> m_weights; // by the hash of the model's name
};

} // namespace fordwood

#endif // FORDWOOD_OLD_CONTEXT_CLEANER_HPP_INCLUDED
