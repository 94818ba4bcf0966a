// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_PERMIT_SCHEDULER_HPP_INCLUDED
#define FORDWOOD_PERMIT_SCHEDULER_HPP_INCLUDED

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

// Identifies one entry node's connection to the owner; permits end with the connection that holds
// them.
using HolderId = std::uint64_t;

// A request to send one call to one upstream.
struct PermitRequest
{
    HolderId holder = 0;
    std::uint64_t requestId = 0; // unique within the holder
    std::string upstream;
    std::string team;
    double cost = 1.0; // expected uncached prefill tokens plus generated tokens
    int priority = 0; // higher goes first within the team
    Duration wait{0}; // longest time in the queue; zero: answer at once
    PromptSize prompt = {}; // of a completion
};

// The owner's answer: a permit, or a denial with its reason. A denied call has not run.
struct PermitAnswer
{
    HolderId holder = 0;
    std::uint64_t requestId = 0;
    bool granted = false;
    std::uint64_t permitId = 0;
    Duration waited{0}; // between arrival of the request and the grant
    Duration sendWithin{0}; // counted from the grant
    Reason reason = Reason::Internal;
    std::chrono::milliseconds retryAfter{0};
    // For a denial for lack of a slot: the estimated time to the first token, including the delay
    // that the prompt causes for others. Used to compare upstreams.
    Duration firstTokenIn{0};
};

// The properties of an upstream that its owner schedules by.
struct OwnedUpstream
{
    std::string name;
    std::size_t slots = 1; // requests that the upstream runs concurrently
    bool leaving = false;
    double prefillTokensPerSecond = 10'000;
    std::size_t cacheTokens = 100'000;
};

// The limits that an owner enforces.
struct PermitLimits
{
    Duration sendWithin = std::chrono::seconds(2); // lifetime of an unused permit
    std::size_t queuePerTeam = 256; // waiting requests per team and upstream
    // A prompt is sent to an engine only while the engine's backlog of computation is below this;
    // the others wait in the fair queue, where teams get their shares.
    Duration maxBacklog = std::chrono::milliseconds(250);
};

// Schedules permits for the upstreams that this node owns: as many running calls per upstream as it
// has slots, with weighted fair queueing over teams when there are more. Events in, answers out; no
// I/O and no threads. A request that could not be granted early enough to finish before its
// deadline is denied at once, because a slot given to a call that is aborted midway is wasted. Two
// schedulers that both own an upstream for a moment admit too many calls, and have no other effect.
class PermitScheduler
{
public:
    explicit PermitScheduler(const Clock &clock, PermitLimits limits = {});

    // Replaces the set of owned upstreams. Waiting requests for upstreams that are gone or leaving
    // are denied; running permits are kept until released.
    void setUpstreams(const std::vector<OwnedUpstream> &upstreams);

    // Replaces the shares of the teams; a team without an entry has share 1.
    void setShares(std::map<std::string, double> shares);

    // Stops or resumes grants for an upstream, for example while it loads weights. Requests that
    // may wait are queued.
    void setPaused(const std::string &upstream, bool isPaused);

    // Handles one request; the answer may come now or with a later call to takeAnswers().
    void request(const PermitRequest &request);

    // Ends a running permit. `cost` is the actual cost of the call, or zero if unknown; an empty
    // `upstream` matches any.
    void release(HolderId holder, std::uint64_t permitId, const std::string &upstream, double cost);

    // Ends a permit whose upstream rejected the call because it was full, for example with calls
    // sent without a permit. Further grants for the upstream pause for a moment.
    void onPushback(HolderId holder, std::uint64_t permitId, const std::string &upstream);

    // Ends a waiting request whose caller has gone; a permit granted meanwhile must be released.
    void withdraw(HolderId holder, std::uint64_t requestId, const std::string &upstream);

    // Records a permit that an earlier owner granted to the holder and that is still in use.
    void adoptPermit(HolderId holder, std::uint64_t permitId, const std::string &upstream,
                     const std::string &team);

    // Removes a holder whose connection is lost: its permits are freed, its requests are dropped.
    void dropHolder(HolderId holder);

    // Denies requests that have waited for their maximum time.
    void tick();

    // Answers since the last call, in the order of the decisions.
    std::vector<PermitAnswer> takeAnswers();

    std::size_t running(const std::string &upstream) const;
    std::size_t waiting(const std::string &upstream) const;
    // True while any request waits, so that tick() has work.
    bool hasWaiting() const;
    std::size_t owned() const { return m_states.size(); }

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
        PermitRequest request;
        TimePoint since;
        Duration prefill; // to compute its prompt, as estimated at arrival
    };
    // The scheduling state of one upstream.
    struct UpstreamState
    {
        OwnedUpstream upstream;
        FairQueue queue;
        TimePoint pushbackUntil{}; // no grants before this time
        bool isPaused = false;
        PrefillQueue prefill;
        Duration waitingPrefill{0}; // of all waiting requests
        Duration meanHoldTime{0}; // of a permit, from grant to release
        std::unordered_map<FairQueue::EntryId, Waiting> waiting;
        std::map<std::pair<HolderId, std::uint64_t>, FairQueue::EntryId> byRequest;
        std::map<std::pair<HolderId, std::uint64_t>, Permit> running;
    };

    void grant(UpstreamState &state, const PermitRequest &request, Duration waited);
    void deny(const PermitRequest &request, Reason reason);
    void denyAllWaiting(UpstreamState &state, Reason reason);
    void grantWaiting(UpstreamState &state);
    void dropWaiting(UpstreamState &state, FairQueue::EntryId id);
    void releaseFrom(UpstreamState &state, HolderId holder, std::uint64_t permitId, double cost);
    bool canGrantNow(const UpstreamState &state, const PermitRequest &request) const;
    Duration expectedWait(const UpstreamState &state, const PermitRequest &request) const;
    std::chrono::milliseconds retryAdvice(const UpstreamState *state) const;
    double share(const std::string &team) const;

    const Clock &m_clock;
    PermitLimits m_limits;
    std::map<std::string, UpstreamState> m_states;
    std::map<std::string, double> m_shares;
    std::vector<PermitAnswer> m_answers;
    std::uint64_t m_nextPermit = 1;
    std::uint64_t m_nextEntry = 1;
};

} // namespace fordwood

#endif // FORDWOOD_PERMIT_SCHEDULER_HPP_INCLUDED
