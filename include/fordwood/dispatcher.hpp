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
#include "fordwood/upstream_restarts.hpp"

namespace fordwood {

// Information about an upstream's own state, taken from one of its answers.
struct UpstreamNotice
{
    bool isDraining = false; // it accepts no new requests
    std::optional<Duration> backoff; // how long this daemon must send it nothing
};

// Settings of the dispatcher.
struct DispatcherLimits
{
    std::size_t maxCalls = 2048;
    Duration ownerTimeout = std::chrono::milliseconds(500);
    bool direct = true; // send without permits while there is no contention
    std::size_t maxDirectTokens
        = 1000; // longer prompts always need a permit: engines compute them one at a time
    std::size_t candidates = 3; // upstreams tried without queueing before the call queues
    std::string node = {}; // name of this node
};

// How an attempt at an upstream failed.
struct AttemptFailure
{
    RunState state = RunState::MayHaveRun;
    Reason reason = Reason::UpstreamBroke;
    std::string detail;
    bool answerBegun = false; // the caller has received a part of the answer
    std::optional<std::uint64_t> passedEvents
        = std::nullopt; // complete stream events passed to the caller
};

// An owner's reply to a permit request.
struct PermitReply
{
    std::uint64_t requestId = 0;
    bool granted = false;
    std::uint64_t permitId = 0;
    Duration waited{0}; // time that the request spent queued at the owner
    Duration sendWithin{0}; // counted from the grant
    Reason reason = Reason::Internal;
    std::chrono::milliseconds retryAfter{0};
    Duration firstTokenIn{0}; // set on a denial: expected time to the first token
};

// Manages every call on one entry node from its arrival to its end: chooses the upstream, obtains a
// permit, sends, and decides after a failure whether to retry. Takes events and produces actions;
// does no I/O and has no threads. Every call ends exactly once: by attemptFinished(), or by one
// EndCall or EndWithStoredAnswer action.
class Dispatcher : private TeamAdmission::Listener
{
public:
    Dispatcher(const Clock &clock, const DispatcherLimits &limits);
    // Not copyable: its parts hold references to m_actions.
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    // Replaces the fleet view. Calls in progress continue; new owners are informed of the permits
    // in use.
    void setView(std::shared_ptr<const FleetView> view);

    // A caller's request has arrived.
    void begin(const CallRequest &request);

    // An owner has replied to a permit request.
    void permitAnswered(const std::string &owner, const PermitReply &reply);

    // The holder of a key has answered a claim.
    void claimAnswered(std::uint64_t claimId, const ClaimAnswer &answer);

    // The owner of a team has replied to a request for a share of the team's ceiling.
    void allowanceAnswered(const std::string &team, std::uint64_t requestId,
                           const Allowance &allowance);

    // The connection to an owner was lost, and with it the open permit requests and granted
    // permits.
    void ownerLost(const std::string &owner);

    // An attempt has failed.
    void attemptFailed(CallId call, unsigned attempt, const AttemptFailure &failure);

    // An attempt has delivered the complete answer. `cost` is what the request used, or zero if
    // unknown.
    void attemptFinished(CallId call, unsigned attempt, double cost, StoredAnswer answer = {});

    // The effect of a rate limit that an answer reported.
    struct LimitOutcome
    {
        std::string upstream; // empty: the attempt is over
        std::optional<LimitChange> change;
        std::optional<double> ownRate; // requests per second that this node may send there
    };

    // The head of an answer has reported the upstream's rate limit.
    LimitOutcome limitRead(CallId call, unsigned attempt, const ParsedLimit &limit);

    // The head of an answer has reported the upstream's state. Returns the upstream's name and how
    // long it gets no requests, or nothing if the report changes nothing.
    struct Backoff
    {
        std::string upstream;
        Duration length{};
    };
    std::optional<Backoff> noticeRead(CallId call, unsigned attempt, const UpstreamNotice &notice);

    // Number of upstreams with a known rate limit, for the metrics.
    std::size_t limitedUpstreams() const { return m_gate.upstreamLimits().limitedUpstreams(); }

    // The caller has disconnected. A request with an idempotency key that was already sent
    // continues, and its answer is stored.
    void callerLeft(CallId call);

    // Handles all deadlines and timeouts that have expired.
    void tick();

    // Refuses new calls from now on.
    void stop() { m_stopping = true; }

    // Ends all calls, as the time of a planned stop has passed: those that no upstream has begun
    // are refused as not run.
    void endAllForStop();

    // Actions since the last call, in order.
    std::vector<Action> takeActions();

    std::size_t calls() const { return m_calls.size(); }

private:
    enum class Stage : std::uint8_t { Claiming, Admitting, RequestingPermit, Sent };

    struct Call
    {
        CallRequest request;
        Stage stage = Stage::RequestingPermit;
        unsigned attempt = 0;
        CallCandidates candidates;
        std::uint64_t requestId = 0; // of the open permit request; zero: none
        std::string requestedOwner;
        TimePoint requestedAt{};
        TimePoint replyDue{};
        TimePoint sentAt{};
        bool entered = false; // counts against the ceiling of its team
        Verdict last; // latest reason why the call has no answer yet
        bool mayHaveRun = false; // by any attempt so far
        std::optional<std::uint64_t> resumeFrom; // number of events that the caller already has
    };

    // TeamAdmission::Listener
    void onAdmitted(CallId call) override;
    void onRefused(CallId call) override;

    void admit(Call &call);
    void forget(CallId id);
    void claim(Call &call, const Member *holder);
    void choose(Call &call);
    void requestPermit(Call &call);
    void tryNext(Call &call, const Verdict &why);
    void skipUpstream(Call &call);
    void retryAfterNotOwner(Call &call, const std::string &previousOwner, const Verdict &why);
    void sendWithoutOwner(Call &call);
    bool maySendDirectly(const UpstreamConfig &upstream, const Call &call);
    void send(Call &call, TimePoint sendBy);
    static bool needsNoRetry(const Call &call, const AttemptFailure &failure, bool sentDirectly);
    void renewVersion(Call &call) const;
    void withdraw(Call &call);
    void endUnanswered(Call &call, const Verdict &verdict);
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
    std::unordered_map<std::uint64_t, CallId> m_permitRequests;
    std::uint64_t m_nextRequestId = 1;
    std::map<std::string, RetryBudget> m_budgets; // by team
    Contention m_contention; // by model or service
    KeyClaims m_claims;
    TeamAdmission m_admission;
    PermitsInUse m_permits;
    QuarantineGate m_quarantine;
    UpstreamRestarts m_ends;
    LimitGate m_gate;
    UpstreamBackoffs m_backoffs;
    std::map<std::string, RetrySchedule>
        m_retrySchedules; // by upstream that is rate-limited or backing off
    bool m_stopping = false;
};

} // namespace fordwood

#endif // FORDWOOD_DISPATCHER_HPP_INCLUDED
