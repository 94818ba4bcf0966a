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
#include "fordwood/old_context_times.hpp"
#include "fordwood/weight_history.hpp"

namespace fordwood {

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
    // When newer weights than the salt's were named; empty if none are known.
    std::optional<EventTime> supersededAt(const std::string &salt) const;
    void addUnusedParts(const Store &store, FreePartsCall &action) const;

    const Clock &m_clock;
    std::map<std::string, Store> m_stores; // by name
    std::map<std::uint64_t, WeightHistory> m_weights; // by the hash of the model's name
};

} // namespace fordwood

#endif // FORDWOOD_OLD_CONTEXT_CLEANER_HPP_INCLUDED
