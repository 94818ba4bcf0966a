// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_DISPATCHER_HPP_INCLUDED
#define FORDWOOD_DISPATCHER_HPP_INCLUDED

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fordwood/call.hpp"
#include "fordwood/call_candidates.hpp"
#include "fordwood/clock.hpp"
#include "fordwood/contention.hpp"
#include "fordwood/fleet_view.hpp"
#include "fordwood/key_claims.hpp"
#include "fordwood/limit_gate.hpp"
#include "fordwood/limit_text.hpp"
#include "fordwood/permits_in_use.hpp"
#include "fordwood/quarantine_gate.hpp"
#include "fordwood/retry_budget.hpp"
#include "fordwood/retry_schedule.hpp"
#include "fordwood/team_admission.hpp"
#include "fordwood/upstream_backoffs.hpp"
#include "fordwood/upstream_ends.hpp"

namespace fordwood {

// What an upstream's answer says of the upstream itself.
struct UpstreamNotice
{
    bool isDraining = false; // it takes no new work
    std::optional<Duration> backoff; // it wants nothing from this daemon for so long
};

// Settings of the dispatcher.
struct DispatcherLimits
{
    std::size_t maxCalls = 2048;
    Duration ownerTimeout = std::chrono::milliseconds(500);
    bool direct = true; // send without permits while there is no contention
    std::size_t maxDirectTokens = 1000; // longer prompts always ask: they wait for one another
    std::size_t candidates = 3; // upstreams tried without queueing before the call queues
    std::string node = {}; // this one's name
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
class Dispatcher : private TeamAdmission::Listener
{
public:
    Dispatcher(const Clock &clock, const DispatcherLimits &limits);
    // Its parts add to the actions of this one object.
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    // Replaces the view of the fleet. Calls under way go on; owners that are new hear of them.
    void setView(std::shared_ptr<const FleetView> view);

    // A caller's request has arrived.
    void begin(const CallRequest &request);

    // An owner has answered an ask.
    void permitAnswered(const std::string &owner, const PermitReply &reply);

    // The holder of a key has answered a claim.
    void claimAnswered(std::uint64_t claimId, const ClaimAnswer &answer);

    // The owner of a team has answered an ask for a part of its ceiling.
    void allowanceAnswered(const std::string &team, std::uint64_t askId,
                           const Allowance &allowance);

    // The connection to an owner is gone, and with it its open asks and its permits.
    void ownerLost(const std::string &owner);

    // An attempt has failed.
    void attemptFailed(CallId call, unsigned attempt, const AttemptFailure &failure);

    // An attempt has brought the whole answer. `cost` is what it used, or zero if unknown.
    void attemptFinished(CallId call, unsigned attempt, double cost, KeptAnswer answer = {});

    // What an answer said of its upstream's limit has been taken in.
    struct LimitUpdate
    {
        std::string upstream; // empty: the attempt is over
        std::optional<LimitChange> change;
        std::optional<double> ownPart; // requests a second that this node may send there
    };

    // The head of an answer says this of the upstream's limit.
    LimitUpdate limitRead(CallId call, unsigned attempt, const LimitReading &limit);

    // The head of an answer says this of its upstream. Gives the upstream's name and how long it
    // gets no requests; nothing: it changes nothing.
    struct Backoff
    {
        std::string upstream;
        Duration length{};
    };
    std::optional<Backoff> noticeRead(CallId call, unsigned attempt, const UpstreamNotice &notice);

    // Upstreams that name a limit now, for the metrics.
    std::size_t limitedUpstreams() const { return m_gate.beliefs().limited(); }

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

    struct Call
    {
        CallRequest request;
        Stage stage = Stage::Asking;
        unsigned attempt = 0;
        CallCandidates candidates;
        std::uint64_t askId = 0; // while an ask is open
        std::string askedOwner;
        TimePoint asked{};
        TimePoint askedUntil{};
        TimePoint sentAt{};
        bool entered = false; // counts against the ceiling of its team
        Verdict last; // why the call has not been answered yet
        bool mayHaveRun = false; // by any attempt so far
        std::optional<std::uint64_t> resumeFrom; // events that the caller has already
    };

    // TeamAdmission::Listener
    void entered(CallId call) override;
    void refused(CallId call) override;

    void admit(Call &call);
    void forget(CallId id);
    void claim(Call &call, const Member *holder);
    void choose(Call &call);
    void ask(Call &call);
    void tryNext(Call &call, const Verdict &why);
    void skipUpstream(Call &call);
    void retryAfterNotOwner(Call &call, const std::string &asked, const Verdict &why);
    void sendWithoutOwner(Call &call);
    bool maySendDirectly(const UpstreamConfig &upstream, const Call &call);
    void send(Call &call, TimePoint sendBy);
    static bool needsNoRetry(const Call &call, const AttemptFailure &failure, bool sentDirectly);
    void renewVersion(Call &call) const;
    void withdraw(Call &call);
    void endExpired(Call &call);
    void end(CallId id, const Verdict &verdict);
    bool takeRetry(const Call &call, Reason reason);
    void recordBreakOff(const Call &call);
    bool isHeld(const CallRequest &request) const;
    Verdict quarantineVerdict(const CallRequest &request) const;
    bool maySend(const std::string &upstream);
    Verdict limitedVerdict(const UpstreamConfig &upstream);
    Call *find(CallId id, unsigned attempt);

    const Clock &m_clock;
    const DispatcherLimits m_limits;
    std::shared_ptr<const FleetView> m_view;
    std::vector<Action> m_actions;
    std::unordered_map<CallId, Call> m_calls;
    std::unordered_map<std::uint64_t, CallId> m_asks;
    std::uint64_t m_nextAsk = 1;
    std::map<std::string, RetryBudget> m_budgets; // by team
    Contention m_contention; // by model or service
    KeyClaims m_claims;
    TeamAdmission m_admission;
    PermitsInUse m_permits;
    QuarantineGate m_quarantine;
    UpstreamEnds m_ends;
    LimitGate m_gate;
    UpstreamBackoffs m_backoffs;
    std::map<std::string, RetrySchedule> m_retrySchedules; // by upstream that takes only so many
    bool m_stopping = false;
};

} // namespace fordwood

#endif // FORDWOOD_DISPATCHER_HPP_INCLUDED
