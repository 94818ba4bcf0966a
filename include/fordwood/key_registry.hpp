// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_KEY_REGISTRY_HPP_INCLUDED
#define FORDWOOD_KEY_REGISTRY_HPP_INCLUDED

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/reason.hpp"
#include "fordwood/tenure.hpp"

namespace fordwood {

// Names the connection of an entry node that runs keyed requests.
using ClaimantId = std::uint64_t;

// An idempotency key of a team, with the issue time that it carries.
struct IdempotencyKey
{
    std::string team;
    std::string text; // a version 7 UUID
    WallTime issued{};
};

// Reads the issue time of a version 7 UUID; empty when the text is none.
std::optional<WallTime> issueTimeOf(const std::string &uuid);

// An answer that is kept for callers who send the same key again.
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

// What becomes of a claim.
struct ClaimAnswer
{
    enum class Decision : std::uint8_t {
        Run, // the claimant may run the request, once
        Answer, // it has run, and this is its answer
        Refuse, // with the reason and the state
        Redirect, // another node holds the tenure
    };
    Decision decision = Decision::Refuse;
    Reason reason = Reason::Internal;
    RunState state = RunState::MayHaveRun;
    std::string holder; // of a redirection
    StoredAnswer answer;
};

// A key and what is known of it, handed to another process.
struct HandedKey
{
    IdempotencyKey key;
    RunState state = RunState::MayHaveRun; // MayHaveRun or Ran
    std::optional<StoredAnswer> answer;
};

// All that a process knows of its keys, for its successors.
struct HandedKeys
{
    std::vector<HandedKey> keys;
    WallTime floor{}; // keys issued before this may have been forgotten
};

// The keys that one process has let run, in the tenures that it holds. Decides for each keyed
// request whether it may run: never twice, and "not run" is only said where that is certain. No I/O
// and no threads.
class KeyRegistry
{
public:
    struct Limits
    {
        std::size_t maxKeys = 100'000; // some 42 MB
        std::size_t maxAnswerBytes = 16u << 20;
        Duration window = std::chrono::minutes(10);
    };

    KeyRegistry(KeyHolder self, const Clock &clock, Limits limits);

    // Learns the chain of a partition, as it stands in the platform. Older knowledge is kept where
    // the new chain ends earlier.
    void setChain(std::uint32_t partition, const TenureChain &chain);

    // Whether a process is still there to be asked; set by the node's view of the members.
    void setLiveMembers(std::map<std::string, std::uint64_t> bootByNode);

    // A request with a key wants to run.
    ClaimAnswer claim(ClaimantId claimant, const IdempotencyKey &key);

    // A claimed request has ended. NotRun frees the key, so that it may be sent again.
    void finish(ClaimantId claimant, const IdempotencyKey &key, RunState state,
                StoredAnswer answer);

    // A claimant is gone: what it was running may have run.
    void dropClaimant(ClaimantId claimant);

    // Lets no further key run here, for good, and gives what is known of all keys. What still runs
    // is handed on as one that may have run.
    HandedKeys close();

    // Takes what another process knew. Must come before the tenures that go with it.
    void importKeys(const HandedKeys &handed);

    // Forgets keys older than the window.
    void tick();

    std::size_t keys() const { return m_entries.size(); }
    std::size_t answerBytes() const { return m_answerBytes; }

private:
    enum class State : std::uint8_t { Running, MayHaveRun, Ran };
    struct Entry
    {
        State state = State::Running;
        ClaimantId claimant = 0;
        WallTime issued{};
        std::optional<StoredAnswer> answer;
    };
    using Id = std::pair<std::string, std::string>; // team and key

    ClaimAnswer refuse(Reason reason) const;
    ClaimAnswer answerRepeat(const Entry &entry) const;
    void remember(const Id &id, Entry entry);
    void forgetOldest();
    void forget(const Id &id);

    KeyHolder m_self;
    const Clock &m_clock;
    Limits m_limits;
    std::map<std::uint32_t, TenureChain> m_chains;
    std::map<std::string, std::uint64_t> m_bootByNode;
    std::map<Id, Entry> m_entries;
    std::multimap<WallTime, Id> m_byTime;
    WallTime m_floor{}; // keys issued before this may have been forgotten
    std::size_t m_answerBytes = 0;
    bool m_closed = false;
};

// Divides what a planned stop hands over among the successors, by index; -1 takes what nobody can.
// Every successor of a partition gets the floor, also where no key goes to it.
std::map<int, HandedKeys>
groupBySuccessor(const HandedKeys &handed,
                 const std::function<int(std::uint32_t partition)> &successorOf);

} // namespace fordwood

#endif // FORDWOOD_KEY_REGISTRY_HPP_INCLUDED
