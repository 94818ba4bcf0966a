// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_ENTRYD_ENTRY_NODE_HPP_INCLUDED
#define FORDWOOD_APPS_ENTRYD_ENTRY_NODE_HPP_INCLUDED

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <variant>

#include "adapters/grpc/control_client.hpp"
#include "adapters/grpc/permit_client.hpp"
#include "adapters/http/caller_server.hpp"
#include "adapters/http/upstream_client.hpp"
#include "adapters/observe/limit_log.hpp"
#include "adapters/observe/metrics.hpp"
#include "adapters/system_clock.hpp"
#include "adapters/threads/bounded_ring.hpp"
#include "apps/common/daemon.hpp"
#include "apps/entryd/api.hpp"
#include "apps/entryd/snapshot_reader.hpp"
#include "fordwood/dispatcher.hpp"

namespace fordwood::apps {

// The entryd process: accepts callers' requests, sends them to upstreams, and forwards the answers.
// Threads: HTTP for callers, dispatch (all decisions), HTTP to upstreams, snapshots from controld.
class EntryNode : public Daemon,
                  private adapters::CallerHandler,
                  private adapters::PermitClientListener,
                  private adapters::UpstreamListener
{
public:
    explicit EntryNode(const config::Settings &settings);
    ~EntryNode() override;

    bool start() override;
    void beginStop(TimePoint signalledAt) override;
    void finishStop() override;

private:
    struct BeginEvent
    {
        CallRequest request;
        std::shared_ptr<adapters::Exchange> exchange;
    };
    struct ReplyEvent
    {
        std::string owner;
        PermitReply reply;
    };
    struct StreamLostEvent
    {
        std::string owner;
        std::uint64_t stream;
    };
    struct ClaimEvent
    {
        std::uint64_t claimId;
        ClaimAnswer answer;
    };
    struct AllowanceEvent
    {
        std::string team;
        std::uint64_t requestId;
        Allowance allowance;
    };
    struct FinishedEvent
    {
        CallId call;
        unsigned attempt;
        double cost;
        StoredAnswer answer;
    };
    struct FailedEvent
    {
        CallId call;
        unsigned attempt;
        AttemptFailure failure;
    };
    struct NoticeEvent
    {
        CallId call = 0;
        unsigned attempt = 0;
        UpstreamNotice notice;
    };
    struct LimitEvent
    {
        CallId call;
        unsigned attempt;
        ParsedLimit limit;
    };
    struct CallerLeftEvent
    {
        CallId call;
    };
    struct StateEvent
    {
        std::shared_ptr<const ServingState> state;
    };
    struct StopEvent
    { };
    struct StopEndEvent
    { };
    using EntryEvent
        = std::variant<BeginEvent, ReplyEvent, ClaimEvent, AllowanceEvent, StreamLostEvent,
                       FinishedEvent, FailedEvent, LimitEvent, NoticeEvent, CallerLeftEvent,
                       StateEvent, StopEvent, StopEndEvent>;

    // CallerHandler, called on the HTTP threads
    std::variant<adapters::DirectAnswer, std::shared_ptr<adapters::Exchange>>
    handle(adapters::CallerRequest message) override;
    void submit(const std::shared_ptr<adapters::Exchange> &exchange) override;
    void callerLeft(CallId call) override;
    void exchangeEnded(CallId call) override;
    void refused(Reason reason) override;

    // PermitClientListener, called on gRPC's threads
    bool replyArrived(const std::string &owner, const PermitReply &reply) override;
    void claimAnswered(std::uint64_t claimId, const ClaimAnswer &answer) override;
    void allowanceAnswered(const std::string &team, std::uint64_t requestId,
                           const Allowance &allowance) override;
    void streamLost(const std::string &owner, std::uint64_t stream) override;

    // UpstreamListener, called on the upstream thread
    void attemptFinished(CallId call, unsigned attempt, double cost, StoredAnswer answer) override;
    void attemptFailed(CallId call, unsigned attempt, const AttemptFailure &failure) override;
    void limitRead(CallId call, unsigned attempt, const ParsedLimit &limit) override;
    void noticeRead(CallId call, unsigned attempt, const UpstreamNotice &notice) override;

    void waitForAnswers();

    adapters::DirectAnswer operatorAnswer(const std::string &path);
    adapters::DirectAnswer rejectionAnswer(Verdict verdict, bool hasKey);
    void applySnapshot(const wire::Snapshot &snapshot);
    void pushBlocking(const EntryEvent &event);

    // On the dispatch thread:
    void runDispatch();
    void on(BeginEvent &event);
    void on(const ReplyEvent &event);
    void on(const ClaimEvent &event);
    void on(const AllowanceEvent &event);
    void on(const StreamLostEvent &event);
    void on(const FinishedEvent &event);
    void on(const FailedEvent &event);
    void on(const LimitEvent &event);
    void on(const NoticeEvent &event);
    void on(const CallerLeftEvent &event);
    void on(const StateEvent &event);
    void on(const StopEvent &event);
    void on(const StopEndEvent &event);
    void carryOut(const Action &action);
    void sendUpstream(const SendCall &send);
    void endExchange(CallId call, const Verdict &verdict);
    void sendStoredAnswer(const EndWithStoredAnswer &action);

    const config::Settings m_settings;
    adapters::SystemClock m_clock;
    adapters::Metrics m_metrics;
    adapters::LimitLog m_limitLog{m_metrics};
    adapters::BoundedRing<EntryEvent> m_ring;
    Dispatcher m_dispatcher;
    adapters::ControlClient m_control;
    SnapshotReader m_snapshots;
    adapters::PermitClient m_permits;
    adapters::UpstreamClient m_upstreams;
    adapters::CallerServer m_callers;
    std::thread m_dispatchThread;
    std::thread m_upstreamThread;
    std::thread m_controlThread;

    std::atomic<std::shared_ptr<const ServingState>> m_state;
    std::atomic<CallId> m_nextCall{1};
    std::atomic<std::size_t> m_inFlight{0};
    std::atomic<std::size_t> m_unendedCalls{
        0}; // whose exchange has neither an answer nor a refusal
    std::atomic<std::size_t> m_openCallCount{0}; // calls that the dispatcher has open
    std::atomic<bool> m_ready{false};
    std::atomic<bool> m_stopBegan{false}; // a planned stop has begun
    std::atomic<bool> m_isStopOver{false}; // its time has passed, or the last answer has ended
    std::atomic<bool> m_stopping{false};
    TimePoint m_signalledAt{}; // the earliest time of the signal to stop
    std::optional<TimePoint> m_stopEndsAt; // nullopt: the planned stop has no time limit

    // Requests that were parsed but not yet submitted, by id.
    std::mutex m_unsubmittedMutex;
    std::unordered_map<CallId, CallRequest> m_unsubmitted;

    // Used only on the dispatch thread:
    struct OpenCall
    {
        CallRequest request;
        std::shared_ptr<adapters::Exchange> exchange;
        TimePoint arrivedAt{};
        std::string upstream = {}; // of the last attempt; empty: none was made
    };
    void logCut(CallId call, const OpenCall &open, const Verdict &verdict) const;
    std::unordered_map<CallId, OpenCall> m_openCalls;
};

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_ENTRYD_ENTRY_NODE_HPP_INCLUDED
