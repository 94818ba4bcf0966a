// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_PERMIT_BOOK_HPP_INCLUDED
#define FORDWOOD_PERMIT_BOOK_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/fair_queue.hpp"
#include "fordwood/prefill_queue.hpp"
#include "fordwood/reason.hpp"

namespace fordwood {

// Names one entry node's connection to the owner; permits die with the connection that holds them.
using HolderId = std::uint64_t;

// A wish to send one request to one upstream.
struct PermitAsk
{
    HolderId holder = 0;
    std::uint64_t askId = 0; // unique within the holder
    std::string upstream;
    std::string team;
    double cost = 1.0; // expected uncached prefill tokens plus generated tokens
    int priority = 0; // higher goes first within the team
    Duration wait{0}; // how long the request may queue; zero: answer at once
    PromptSize prompt = {}; // of a completion
};

// The owner's answer: a permit, or a denial with its reason. Denials always mean "not run".
struct PermitAnswer
{
    HolderId holder = 0;
    std::uint64_t askId = 0;
    bool granted = false;
    std::uint64_t permitId = 0;
    Duration waited{0}; // between the ask's arrival and the grant
    Duration sendWithin{0}; // counted from the grant
    Reason reason = Reason::Internal;
    std::chrono::milliseconds retryAfter{0};
    // With a denial for want of a place: when the first token could come, about, and with it what
    // it costs the others. For comparing upstreams.
    Duration firstTokenIn{0};
};

// What the owner needs to know about an upstream.
struct OwnedUpstream
{
    std::string name;
    std::size_t slots = 1; // requests that the upstream runs at once
    bool leaving = false;
    double prefillTokensPerSecond = 10'000;
    std::size_t cacheTokens = 100'000;
};

// The limits that an owner keeps to.
struct PermitLimits
{
    Duration sendWithin = std::chrono::seconds(2); // life of an unused permit
    std::size_t queuePerTeam = 256; // waiting asks per team and upstream
    // Prompts are given to an engine while it has less than this to compute; the others wait here,
    // where teams get their shares.
    Duration mostBacklog = std::chrono::milliseconds(250);
};

// Decides who may send to the upstreams that this node owns: as many running requests per upstream
// as it has slots, and weighted fair queueing over teams when there are more. Events in, answers
// out; no I/O and no threads. An ask that could not be granted early enough to finish before its
// deadline is denied at once: a place given to a request that dies in the middle is lost for all.
// Two books that both think they own an upstream admit too much for a moment and break nothing
// else.
class PermitBook
{
public:
    explicit PermitBook(const Clock &clock, PermitLimits limits = {});

    // Replaces the set of owned upstreams. Waiting asks of upstreams that are gone or leaving are
    // denied; running permits are kept until released.
    void setUpstreams(const std::vector<OwnedUpstream> &upstreams);

    // Replaces the shares of the teams; a team without an entry has share 1.
    void setShares(std::map<std::string, double> shares);

    // Stops grants for an upstream for the moment, as while it loads weights: asks that may wait
    // do.
    void setHeld(const std::string &upstream, bool held);

    // Handles one ask; the answer may come now or with a later call to takeAnswers().
    void ask(const PermitAsk &ask);

    // Ends a running permit. `cost` is what the request really used, or zero if unknown; an empty
    // `upstream` stands for any.
    void release(HolderId holder, std::uint64_t permitId, const std::string &upstream, double cost);

    // Ends a permit whose upstream was full all the same, of runs that came without a permit: the
    // next grants of the upstream wait a moment.
    void pushedBack(HolderId holder, std::uint64_t permitId, const std::string &upstream);

    // Ends a waiting ask whose caller has gone; a permit granted meanwhile must be released.
    void withdraw(HolderId holder, std::uint64_t askId, const std::string &upstream);

    // Records a permit that the holder got from an earlier owner and still uses.
    void hold(HolderId holder, std::uint64_t permitId, const std::string &upstream,
              const std::string &team);

    // Forgets a holder whose connection is gone: its permits are free, its asks are dropped.
    void dropHolder(HolderId holder);

    // Denies the asks that have waited as long as they may.
    void tick();

    // Answers since the last call, in the order they were decided.
    std::vector<PermitAnswer> takeAnswers();

    std::size_t running(const std::string &upstream) const;
    std::size_t waiting(const std::string &upstream) const;
    // True while any ask waits, so that tick() has work.
    bool hasWaiting() const;
    std::size_t owned() const { return m_lines.size(); }

private:
    struct Permit
    {
        HolderId holder;
        std::string team;
        double cost;
        TimePoint granted{};
    };
    struct Waiting
    {
        PermitAsk ask;
        TimePoint since;
        Duration prefill; // to compute its prompt, as believed when it came
    };
    // All that concerns one upstream.
    struct Line
    {
        OwnedUpstream upstream;
        FairQueue queue;
        TimePoint fullUntil{};
        bool held = false;
        PrefillQueue prefill;
        Duration waitingPrefill{0}; // of all waiting asks
        Duration meanHold{0}; // of a permit, from grant to release
        std::unordered_map<FairQueue::EntryId, Waiting> waiting;
        std::map<std::pair<HolderId, std::uint64_t>, FairQueue::EntryId> byAsk;
        std::map<std::pair<HolderId, std::uint64_t>, Permit> running;
    };

    void grant(Line &line, const PermitAsk &ask, Duration waited);
    void deny(const PermitAsk &ask, Reason reason);
    void denyAllWaiting(Line &line, Reason reason);
    void fill(Line &line);
    void dropWaiting(Line &line, FairQueue::EntryId id);
    void releaseIn(Line &line, HolderId holder, std::uint64_t permitId, double cost);
    bool takesNow(const Line &line, const PermitAsk &ask) const;
    Duration expectedWait(const Line &line, const PermitAsk &ask) const;
    std::chrono::milliseconds retryAdvice(const Line *line) const;
    double share(const std::string &team) const;

    const Clock &m_clock;
    PermitLimits m_limits;
    std::map<std::string, Line> m_lines;
    std::map<std::string, double> m_shares;
    std::vector<PermitAnswer> m_answers;
    std::uint64_t m_nextPermit = 1;
    std::uint64_t m_nextEntry = 1;
};

} // namespace fordwood

#endif // FORDWOOD_PERMIT_BOOK_HPP_INCLUDED
