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

// Spans that nodes and the keeper of the stores agree on; see OldContextCleaner.
struct OldContextTimes
{
    // How long after the naming of newer weights context of older ones is still fetched: one part
    // after the other ends, by a hash of its name, about as the engines come to the new weights one
    // after the other. So the requests for a context go over to the new weights together, those for
    // others are still served from what is kept, and the stores get room little by little.
    static constexpr Duration kMinUseTime = std::chrono::milliseconds(3'500);
    static constexpr Duration kMaxUseTime = std::chrono::seconds(10);
    static Duration useTimeOf(const std::string &partId);
    // How much later than the first a node may learn of the naming while it fetches at all: it
    // stops when neither the platform's store nor a peer is heard, which shows within this.
    static constexpr Duration kMaxLearnDelay = std::chrono::seconds(3);
    // How long after its request was sent a fetch may still run; engines throw away later ones.
    static constexpr Duration kMaxFetchTime = std::chrono::milliseconds(1'500);
    // For messages on their way.
    static constexpr Duration kMargin = std::chrono::milliseconds(500);
    // From the naming of newer weights on: after this nobody reads the part any more.
    static Duration unusedAfter(const std::string &partId)
    {
        return useTimeOf(partId) + kMaxLearnDelay + kMaxFetchTime + kMargin;
    }
};

// Asks a store to free parts, unless it has restarted.
struct FreePartsCall
{
    std::string store;
    std::uint64_t epoch = 0;
    std::vector<std::pair<std::string, std::string>> parts; // salt and id
};

// Frees context of old weights in the stores, which drop nothing on their own and do not know who
// reads from them. One node at a time does so, the holder of the lock, and only when the spans of
// OldContextTimes are over: by then no node asks for such a fetch, and none that was asked for
// still runs.
class OldContextCleaner
{
public:
    explicit OldContextCleaner(const Clock &clock) : m_clock(clock) { }

    // The versions that were named for the model.
    void setWeights(const std::string &model, const WeightHistory &history);

    void storeAnswered(const StoreNews &news);
    void storeFailed(const std::string &store);

    // What may be freed now; nothing without the lock.
    std::vector<FreePartsCall> tick(const std::optional<FencedLock::Holding> &holding);

    // The store has answered the call, or not.
    void freeAnswered(const FreePartsCall &asked, bool done);

private:
    struct Store
    {
        std::uint64_t epoch = 0;
        bool answers = false;
        bool isCallPending = false; // a call is on its way
        TimePoint retryAt{}; // after a call that failed
        std::map<std::string, std::set<std::string>> parts; // ids by salt
    };
    // Since when the salt's weights are old; nothing: they are not.
    std::optional<TimePoint> oldSince(const std::string &salt) const;
    void addUnusedParts(const Store &store, FreePartsCall &action) const;

    const Clock &m_clock;
    std::map<std::string, Store> m_stores; // by name
    std::map<std::uint64_t, WeightHistory> m_weights; // by the hash of the model's name
};

} // namespace fordwood

#endif // FORDWOOD_STORE_KEEPER_HPP_INCLUDED
