// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONTEXT_DIRECTORY_HPP_INCLUDED
#define FORDWOOD_CONTEXT_DIRECTORY_HPP_INCLUDED

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/prompt.hpp"
#include "fordwood/serving_config.hpp"
#include "fordwood/upstream_record.hpp"
#include "fordwood/weight_history.hpp"

namespace fordwood {

// A prompt part that a store now holds completely, or has dropped.
struct StorePartChange
{
    std::string salt;
    std::string partId;
    bool held = false;
    std::size_t tokens = 0;
};

// Changes that one context store has reported.
struct ContextStoreUpdate
{
    std::string store; // its name
    std::uint64_t epoch = 0; // changes when the store has lost everything
    bool isSnapshot = false; // `changes` lists everything that it holds
    std::uint64_t next = 0; // number of the store's first event not included
    std::chrono::milliseconds clock{
        0}; // clock shared by engines and stores, when the store answered
    std::chrono::milliseconds age{0}; // time since it answered the relay
    std::vector<StorePartChange> changes;
};

// Tracks where context is kept, as far as this node knows: at the engines according to what was
// sent there, and in the stores according to their reports. A store's report is valid only while
// the store answers: after an outage it may be empty, and a part of the same name may be only half
// written.
class ContextDirectory
{
public:
    struct Limits
    {
        Duration sendMemory = std::chrono::seconds(20); // how long sends are remembered
        Duration storeAnswerLife
            = std::chrono::milliseconds(1'500); // how long a store's answer is valid
        Duration saveTimeout
            = std::chrono::seconds(4); // a save not confirmed by then is considered lost
        std::size_t maxSends = 32'768; // sends remembered; a scheduler records those of all nodes
        // Context that can be fetched for less than this time is not worth saving.
        Duration minUseTime = std::chrono::seconds(2);
        // Sends are announced to peers for this long, as some messages may be lost.
        Duration announceTime = std::chrono::milliseconds(600);
        std::size_t minAnnouncedTokens = 1'000; // smaller contexts are quickly recomputed
        std::size_t maxAnnouncedSends = 64; // in one message
    };

    explicit ContextDirectory(const Clock &clock) : ContextDirectory(clock, Limits{}) { }
    ContextDirectory(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    // Sets the stores of the current configuration.
    void setStores(const std::vector<ContextStore> &stores);

    // A request with this context of `tokens` tokens was sent to an engine, which will have
    // computed the context after `computedAfter`; zero: it has it already.
    void recordSend(const std::string &instanceId, const std::string &salt,
                    std::uint64_t contextHash, std::size_t tokens,
                    Duration computedAfter = Duration::zero());

    // Recent sends of long contexts as hashes to announce to peers, and those that a peer
    // announced.
    std::vector<std::uint64_t> recentSends();
    void recordPeerSends(const std::vector<std::uint64_t> &sends);

    // Whether a request with the context was sent to the engine within the last `keptFor`.
    bool isContextAtEngine(const std::string &instanceId, const std::string &salt,
                           std::uint64_t contextHash, Duration keptFor) const;

    // The engines among `engines` from which a context of `tokens` tokens can be fetched, those
    // that have had it longest first. It was sent to them within the last `keptFor`, and they have
    // had the time to compute it: an engine that is still computing it cannot send it. Empty for a
    // context that is computed faster than fetched.
    std::vector<const UpstreamRecord *>
    engineSources(const std::vector<const UpstreamRecord *> &engines, const std::string &salt,
                  std::uint64_t contextHash, std::size_t tokens, Duration keptFor) const;

    // `waited`: time since this node received the update.
    void storeAnswered(const ContextStoreUpdate &update, Duration waited = Duration::zero());
    void storeFailed(const std::string &store);

    // Whether the last answer of any store is still valid; also true if there are no stores.
    bool hasCurrentStore() const;

    // A store that holds a part; the address is empty if there is none.
    struct Holder
    {
        std::string address;
        std::string failureDomain;
        double linkMbps = 0.0; // zero: not specified
        Duration firstByteDelay{};
    };

    // Sets the versions published for the model.
    void setWeights(const std::string &model, const WeightHistory &history);

    // Sets up to which time this node certainly knows all published weights; nothing: it never did.
    // See ReplicaFreshness::completeAsOf().
    void setReplicaCompleteAsOf(std::optional<TimePoint> asOf) { m_replicaCompleteAsOf = asOf; }

    // How long ago that was.
    std::optional<Duration> replicaAge() const;

    // A store that holds the complete part, and will certainly hold it while a fetch that starts
    // now may run.
    Holder holderOf(const std::string &salt, const std::string &partId) const;

    // Address of the store to save a part of a context of `contextTokens` tokens to: one in the
    // engine's failure domain if it has room. Empty if none has room, a save is in progress, or
    // saving is not worthwhile.
    std::string storeForSave(const std::string &salt, const PromptPart &part,
                             std::size_t contextTokens, const std::string &failureDomain);

    // A request was sent that saves the part to the store at the address.
    void beginSave(const std::string &address, const std::string &salt, const PromptPart &part);

private:
    struct Save
    {
        TimePoint since{};
        std::size_t tokens = 0;
    };
    struct Store
    {
        ContextStore config;
        std::uint64_t hash = 0;
        std::uint64_t epoch = 0;
        TimePoint answered = TimePoint::min();
        bool hasClock = false; // its answers tell the clock that it shares with the engines
        std::unordered_map<std::string, std::size_t> parts; // tokens by salt and part
        std::size_t tokens = 0; // of all parts
        std::map<std::string, Save> saves; // in progress, by salt and part
        std::size_t tokensOfSaves = 0;
    };

    struct Send
    {
        TimePoint last{};
        TimePoint computedAt{}; // estimate
    };

    void remember(std::uint64_t send, Duration computedAfter);
    bool willBeKept(const std::string &salt, const std::string &partId, Duration ahead) const;
    bool isCurrent(const Store &store) const;
    static bool canBoundFetch(const Store &store);
    static void forgetAll(Store &store);
    static void apply(Store &store, const StorePartChange &change);
    void dropOldSaves(Store &store) const;
    static void endSave(Store &store, const std::string &name);

    const Clock &m_clock;
    const Limits m_limits;
    std::map<std::string, Store> m_stores; // by name
    std::unordered_map<std::uint64_t, Send> m_sends; // by hash of instance, salt, context
    std::deque<std::pair<TimePoint, std::uint64_t>> m_toAnnounce; // own sends, oldest first
    std::map<std::uint64_t, WeightHistory> m_weights; // by the hash of the model's name
    std::optional<TimePoint> m_replicaCompleteAsOf;
};

} // namespace fordwood

#endif // FORDWOOD_CONTEXT_DIRECTORY_HPP_INCLUDED
