// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_DISPATCHER_HPP_INCLUDED
#define FORDWOOD_DISPATCHER_HPP_INCLUDED

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fordwood/call.hpp"
#include "fordwood/ceiling_gate.hpp"
#include "fordwood/clock.hpp"
#include "fordwood/contention.hpp"
#include "fordwood/fleet_view.hpp"
#include "fordwood/retry_budget.hpp"

namespace fordwood {

// Settings of the dispatcher.
struct DispatcherLimits
{
    std::size_t maxCalls = 2048;
    Duration ownerTimeout = std::chrono::milliseconds(500);
    bool direct = true; // send without permits while there is no contention
    std::size_t mostDirectTokens = 1000; // longer prompts always ask: they wait for one another
    std::size_t candidates = 3; // upstreams tried without queueing before the call queues
};

// How an attempt at an upstream failed.
struct AttemptFailure
{
    RunState state = RunState::MayHaveRun;
    Reason reason = Reason::UpstreamBroke;
    std::string detail;
    bool answerBegun = false; // a part of the answer has gone to the caller
    std::optional<std::uint64_t> passedEvents = std::nullopt; // whole events of a stream that did
};

// An owner's answer to an ask.
struct PermitReply
{
    std::uint64_t askId = 0;
    bool granted = false;
    std::uint64_t permitId = 0;
    Duration waited{0}; // at the owner
    Duration sendWithin{0}; // counted from the grant
    Reason reason = Reason::Internal;
    std::chrono::milliseconds retryAfter{0};
    Duration firstTokenIn{0}; // with a denial
};

// The life of every call on one entry node, from its arrival to its end: which upstream, permit,
// send, and after a failure whether it may be sent again. Events in, actions out; no I/O and no
// threads. Every call that began ends exactly once: by finished(), or by one EndCall action.
class Dispatcher
{
public:
    Dispatcher(const Clock &clock, DispatcherLimits limits);

    // Replaces the view of the fleet. Calls under way go on; owners that are new hear of them.
    void setView(std::shared_ptr<const FleetView> view);

    // A caller's request has arrived.
    void begin(const CallRequest &request);

    // An owner has answered an ask.
    void permitAnswered(const std::string &owner, const PermitReply &reply);

    // The holder of a key has answered a claim.
    void claimAnswered(const std::string &holder, std::uint64_t claimId, const ClaimAnswer &answer);

    // The owner of a team has answered an ask for a part of its ceiling.
    void allowanceAnswered(const std::string &team, std::uint64_t askId,
                           const Allowance &allowance);

    // The connection to an owner is gone, and with it its open asks and its permits.
    void ownerLost(const std::string &owner);

    // An attempt has failed.
    void attemptFailed(CallId call, unsigned attempt, const AttemptFailure &failure);

    // An attempt has brought the whole answer. `cost` is what it used, or zero if unknown.
    void attemptFinished(CallId call, unsigned attempt, double cost, KeptAnswer answer = {});

    // The caller is gone. A keyed request that was sent goes on: its answer is kept.
    void callerLeft(CallId call);

    // Handles everything whose time has come.
    void tick();

    // Refuses new calls from now on.
    void stop() { m_stopping = true; }

    // Actions since the last call, in order.
    std::vector<Action> takeActions();

    std::size_t calls() const { return m_calls.size(); }

private:
    enum class Stage : std::uint8_t { Claiming, Admitting, Asking, Sent };

    struct Held // a permit in use
    {
        std::string owner; // empty: taken without one
        std::uint64_t permitId = 0;
        std::string upstream;
        bool direct = false; // sent without asking, since there is no contention
    };
    struct Call
    {
        CallRequest request;
        Stage stage = Stage::Asking;
        unsigned attempt = 0;
        std::vector<const UpstreamConfig *> candidates;
        std::vector<std::string> full; // upstreams that refused the call for want of a place
        std::vector<std::string> broken; // upstreams at which an attempt failed
        std::shared_ptr<const FleetView> view; // keeps the candidates alive
        std::size_t next = 0; // candidate asked now
        std::size_t soonest = 0; // of the candidates that had no place
        Duration soonestIn = Duration::max();
        bool queueing = false; // the ask now open may wait at the owner
        std::uint64_t askId = 0;
        std::string askedOwner;
        TimePoint asked{};
        TimePoint askedUntil{};
        std::optional<Held> held;
        std::uint64_t claimId = 0; // while a claim is open
        std::string claimHolder;
        TimePoint claimUntil{};
        int redirections = 0;
        std::vector<std::string> mismatched; // upstreams that served another weight version
        bool claimed = false;
        bool entered = false; // counts against the ceiling of its team
        Verdict last; // why the call has not been answered yet
        bool mayHaveRun = false; // by any attempt so far
        std::optional<std::uint64_t> resumeFrom; // events that the caller has already
    };

    void admit(Call &call);
    void askAllowance(const std::string &team);
    void settleAdmitting(const std::string &team);
    template <typename Matches>
    void giveUpAllowances(Matches matches);
    void forget(CallId id);
    void claim(Call &call, const Member *holder);
    void dropClaim(Call &call);
    void choose(Call &call);
    std::vector<const UpstreamConfig *> candidatesFor(const Call &call) const;
    void ask(Call &call);
    void askNext(Call &call, const Verdict &why);
    void askAgain(Call &call, const std::string &asked, const Verdict &why);
    void fallBack(Call &call);
    bool maySendDirectly(const UpstreamConfig &upstream, const Call &call);
    void send(Call &call, Held held, TimePoint sendBy);
    static bool isFree(const Call &call, const AttemptFailure &failure, bool sentDirectly);
    void renewVersion(Call &call) const;
    const Member *ownerOf(const Held &held) const;
    void holdAtOwner(Call &call, const Member &owner);
    void holdAgain(const Member &owner);
    void releaseHeld(Call &call, double cost, bool pushedBack = false);
    void withdraw(Call &call);
    void end(CallId id, const Verdict &verdict);
    bool takeRetry(const Call &call, Reason reason);
    std::size_t localAllowance(const UpstreamConfig &upstream) const;
    const UpstreamConfig *current(const Call &call) const;
    Call *find(CallId id, unsigned attempt);

    const Clock &m_clock;
    DispatcherLimits m_limits;
    std::shared_ptr<const FleetView> m_view;
    std::unordered_map<CallId, Call> m_calls;
    std::unordered_map<std::uint64_t, CallId> m_asks;
    std::unordered_map<std::uint64_t, CallId> m_claims;
    std::set<std::string> m_lostOwners; // that have not been asked since
    std::map<std::string, std::size_t> m_localInUse; // by upstream
    std::map<std::string, RetryBudget> m_budgets; // by team
    Contention m_contention; // by model or service
    struct AllowanceWait // an open ask
    {
        std::string owner;
        TimePoint until;
    };
    CeilingGate m_gate;
    std::map<std::string, AllowanceWait> m_allowanceAsks; // by team
    std::map<std::string, std::vector<CallId>> m_admitting; // by team, in order
    std::vector<Action> m_actions;
    std::uint64_t m_nextAsk = 1;
    bool m_stopping = false;
};

} // namespace fordwood

#endif // FORDWOOD_DISPATCHER_HPP_INCLUDED
