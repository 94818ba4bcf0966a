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

// Identifies the connection of an entry node that runs calls with idempotency keys.
using ClaimantId = std::uint64_t;

// An idempotency key of a team, with the issue time that it carries.
struct IdempotencyKey
{
    std::string team;
    std::string text; // a version 7 UUID
    WallTime issued{};
};

// Parses the issue time of a version 7 UUID; empty for any other text.
std::optional<WallTime> issueTimeOf(const std::string &uuid);

// A response that is stored for callers that repeat the key.
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

// The decision on a claim.
struct ClaimAnswer
{
    enum class Decision : std::uint8_t {
        Run, // the claimant may run the request, once
        Answer, // it has run; `answer` is the stored response
        Refuse, // with the reason and the state
        Redirect, // another node holds the tenure
    };
    Decision decision = Decision::Refuse;
    Reason reason = Reason::Internal;
    RunState state = RunState::MayHaveRun;
    std::string holder; // for Redirect
    StoredAnswer answer;
};

// A key and its outcome, transferred to another process.
struct HandedKey
{
    IdempotencyKey key;
    RunState state = RunState::MayHaveRun; // MayHaveRun or Ran
    std::optional<StoredAnswer> answer;
};

// All keys of a process, for its successors.
struct HandedKeys
{
    std::vector<HandedKey> keys;
    WallTime floor{}; // keys issued earlier may have been dropped
};

// The idempotency keys that one process has granted, in the tenures that it holds. Decides for each
// claim whether the call may run: never twice. "Not run" is reported only where it is certain. No
// I/O and no threads.
class KeyRegistry
{
public:
    struct Limits
    {
        std::size_t maxKeys = 100'000; // about 42 MB
        std::size_t maxAnswerBytes = 16u << 20;
        Duration window = std::chrono::minutes(10);
    };

    KeyRegistry(KeyHolder self, const Clock &clock, Limits limits);

    // Updates the tenure chain of a partition from the platform. A chain that ends before the known
    // one is ignored.
    void setChain(std::uint32_t partition, const TenureChain &chain);

    // Replaces the boot numbers of the live members, from the node's view; used to check whether
    // another holder can still be asked.
    void setLiveMembers(std::map<std::string, std::uint64_t> bootByNode);

    // A call with a key asks to run.
    ClaimAnswer claim(ClaimantId claimant, const IdempotencyKey &key);

    // A granted call has ended. NotRun frees the key, so that it may be claimed again.
    void finish(ClaimantId claimant, const IdempotencyKey &key, RunState state,
                StoredAnswer answer);

    // The connection of a claimant is lost: its running calls may have run.
    void dropClaimant(ClaimantId claimant);

    // Stops granting keys permanently, and returns all keys. Calls that still run are exported as
    // calls that may have run.
    HandedKeys close();

    // Imports the keys of another process. Must be called before the tenures that go with them take
    // effect.
    void importKeys(const HandedKeys &exported);

    // Drops keys older than the window.
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
    WallTime m_floor{}; // keys issued earlier may have been dropped
    std::size_t m_answerBytes = 0;
    bool m_closed = false;
};

// Groups the keys of a planned stop by successor index; -1 is the group without a successor. Every
// successor of a partition gets the floor, even if it gets no key.
std::map<int, HandedKeys>
groupBySuccessor(const HandedKeys &exported,
                 const std::function<int(std::uint32_t partition)> &successorOf);

} // namespace fordwood

#endif // FORDWOOD_KEY_REGISTRY_HPP_INCLUDED
