// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONTEXT_DIRECTORY_HPP_INCLUDED
#define FORDWOOD_CONTEXT_DIRECTORY_HPP_INCLUDED

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/prompt.hpp"
#include "fordwood/serving_config.hpp"
#include "fordwood/weight_history.hpp"

namespace fordwood {

// A part that a store holds whole, or has dropped.
struct StorePartChange
{
    std::string salt;
    std::string partId;
    bool held = false;
    std::size_t tokens = 0;
};

// What one store of kept context has told.
struct StoreUpdate
{
    std::string store; // its name
    std::uint64_t epoch = 0; // changes when the store has lost everything
    bool isSnapshot = false; // `changes` is all that it holds
    std::uint64_t next = 0; // the number of the store's first event that is not in here
    std::chrono::milliseconds clock{0}; // of the engines and stores, when it answered
    std::chrono::milliseconds age{0}; // how long ago it answered, to the relay that heard it
    std::vector<StorePartChange> changes;
};

// Where kept context lies, as far as this node knows: at the engines by what it sent there, in the
// stores by what they tell. A store's word holds only while it answers: one that has been away may
// have come back empty, and a part of that name may then be half written.
class ContextDirectory
{
public:
    struct Limits
    {
        Duration sendMemory = std::chrono::seconds(20); // how long sends are remembered
        Duration storeAnswerLife
            = std::chrono::milliseconds(1'500); // how long a store's answer holds
        Duration saveTimeout
            = std::chrono::seconds(4); // a save that was not confirmed by then is lost
        std::size_t maxSends = 4'096; // sends remembered
        // Context that will not be fetched for so long any more is not worth a save.
        Duration minUseTime = std::chrono::seconds(2);
        // Sends are told to peers for so long: some messages may be lost.
        Duration announceTime = std::chrono::milliseconds(600);
        std::size_t minAnnouncedTokens = 1'000; // of context: smaller ones are read again quickly
        std::size_t maxAnnouncedSends = 64; // in one message
    };

    explicit ContextDirectory(const Clock &clock) : ContextDirectory(clock, Limits{}) { }
    ContextDirectory(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    // The stores of the configuration in force.
    void setStores(const std::vector<ContextStore> &stores);

    // A request with this context, of so many tokens, was sent to an engine.
    void recordSend(const std::string &instanceId, const std::string &salt,
                    std::uint64_t contextHash, std::size_t tokens);

    // Sends of long contexts of late, in a form for peers; and what a peer has told so.
    std::vector<std::uint64_t> recentSends();
    void recordPeerSends(const std::vector<std::uint64_t> &sends);

    // Whether a request with the context was sent to the engine within `keptFor`.
    bool isContextAtEngine(const std::string &instanceId, const std::string &salt,
                           std::uint64_t contextHash, Duration keptFor) const;

    // `waited`: since this node heard the news.
    void storeAnswered(const StoreUpdate &update, Duration waited = Duration::zero());
    void storeFailed(const std::string &store);

    // Whether any store's word holds now; true as well when there is no store.
    bool hasCurrentStore() const;

    // A store that holds a part; without an address when there is none.
    struct Holder
    {
        std::string address;
        std::string failureDomain;
    };

    // The versions that were named for the model.
    void setWeights(const std::string &model, const WeightHistory &history);

    // Whether this node hears of newly named weights: it reaches the platform's store or a peer.
    void setReceivesVersions(bool informed) { m_receivesVersions = informed; }

    // A store that holds the part whole, and surely will while a fetch that begins now may run.
    Holder holderOf(const std::string &salt, const std::string &partId) const;

    // Address of the store that shall keep the part of a context of so many tokens, one in the
    // engine's failure domain if it has room; empty when none has, or a save is under way.
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
        std::unordered_map<std::string, std::size_t> parts; // tokens by salt and part
        std::size_t tokens = 0; // of all parts
        std::map<std::string, Save> saves; // under way, by salt and part
        std::size_t tokensOfSaves = 0;
    };

    void remember(std::uint64_t send);
    bool willBeKept(const std::string &salt, const std::string &partId, Duration ahead) const;
    bool isCurrent(const Store &store) const;
    static void forgetAll(Store &store);
    static void apply(Store &store, const StorePartChange &change);
    void dropOldSaves(Store &store) const;
    static void endSave(Store &store, const std::string &name);

    const Clock &m_clock;
    const Limits m_limits;
    std::map<std::string, Store> m_stores; // by name
    std::unordered_map<std::uint64_t, TimePoint> m_sends; // by hash of instance, salt, context
    std::deque<std::pair<TimePoint, std::uint64_t>> m_toAnnounce; // own sends, oldest first
    std::map<std::uint64_t, WeightHistory> m_weights; // by the hash of the model's name
    bool m_receivesVersions = true;
};

} // namespace fordwood

#endif // FORDWOOD_CONTEXT_DIRECTORY_HPP_INCLUDED
