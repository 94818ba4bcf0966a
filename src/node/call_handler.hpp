// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CALL_HANDLER_HPP_INCLUDED
#define FORDWOOD_NODE_CALL_HANDLER_HPP_INCLUDED

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "fordwood/buffer_budget.hpp"
#include "fordwood/call_plan.hpp"
#include "fordwood/event_splitter.hpp"
#include "fordwood/request_fingerprint.hpp"
#include "node/admitted_call.hpp"
#include "node/answer_writer.hpp"
#include "node/deadline_timer.hpp"
#include "node/http_channel.hpp"
#include "node/node_state.hpp"
#include "node/timeout_timer.hpp"
#include "node/upstream_attempt.hpp"
#include "node/upstream_choice.hpp"
#include "platform/caller_messages.hpp"

namespace fordwood::node {

struct OpenRequest;

// The body of a request, counted in the budget as long as it is held.
struct HeldBody
{
    std::string bytes;
    BufferBudget::Buffer held;
};

// Handles one request of a caller from its arrival to the last byte of its answer: finds the route
// and the team, selects an upstream, sends the request, forwards the answer, and retries as
// CallPlan decides when an attempt fails.
class CallHandler : public AnswerHandler,
                    public PathUser,
                    public std::enable_shared_from_this<CallHandler>
{
public:
    // `arrived`: when the request was whole. Time limits count from then: the time that a body
    // takes is not taken from the answer's. `writer` must outlive the answer, or the call to
    // onCallerDisconnect().
    CallHandler(NodeState &state, AnswerWriter &writer, http::request_header<> head, HeldBody body,
                TimePoint arrived);
    ~CallHandler() override;
    CallHandler(const CallHandler &) = delete;
    CallHandler &operator=(const CallHandler &) = delete;

    void start();

    // The caller has closed its connection.
    void onCallerDisconnect();

    // The caller has ended its input EndedInput::kDecisionTime ago. Ends the request unless the
    // caller is taken to wait for its answer.
    void onInputEnded(bool isCloseAnnounced, bool hasTakenMore);

    // The planned stop of this node ends while the request is open. Rejects it, or cuts its answer
    // after the last whole event.
    void onStopEnd();

    // As the caller has named the request.
    const std::string &requestId() const { return m_caller.requestId; }

    // Whether an upstream has the request.
    bool isAtUpstream() const;

    // Logs what is known of the request, which is open shortly before the end of a planned stop.
    void logOpenLate() const;

    // The caller has caught up with the stream and can receive more.
    void onCallerReady();

    // From AnswerHandler:
    void onHead(const http::response_header<> &head) override;
    bool onBody(std::string_view bytes) override;
    void onAnswerEnd(AnswerEnd end) override;
    void onChannelFailure(const ErrorCode &cause) override;

    // From PathUser:
    void onCutOff() override;

private:
    // The minimum Retry-After of a refusal.
    static constexpr std::chrono::milliseconds kRetryAfter{250};

    // The outcome of a request that has its whole answer from an upstream.
    static constexpr std::string_view kAnswered = "answered";

    // The outcome of a request that has an answer of an upstream which reports a failure.
    static constexpr std::string_view kUpstreamFailure = "upstream-failure";

    // A request waits for an upstream for this fraction of its target latency. After that an early
    // refusal is more useful to the caller.
    static constexpr int kWaitDivisor = 4;

    // An attempt at a brittle upstream that waits for a place there or at another one.
    struct WaitingAttempt
    {
        UpstreamAttempt attempt;
        PlaceExchange::Question question;
    };

    void continueStream();
    void continueUnnamedStream();
    // Calls `next` once this node's state has all that the platform's store has now, or the store
    // has not told in time.
    void waitUntilCurrent(void (CallHandler::*next)(bool isCurrent));
    void onCurrentForUnnamed(bool isCurrent);
    void onCurrentForVersion(bool isCurrent);
    void findOrigin();
    StreamExchange::OnFound originReceiver();
    void onOrigin(const std::optional<StreamOrigin> &origin);
    void beginServing();
    void startAttempt();
    bool wouldBeCutByStop() const;
    void rejectForStop();
    std::optional<QuarantineGate::Hold> findHold();
    void rejectQuarantined(const QuarantineGate::Hold &hold);
    OpenRequest describeOpen() const;
    void recordDisconnect();
    void recordAnswered();
    void recordUnanswered();
    void requestPlacement(const EngineShard &shard);
    void onPlacement(const EngineShard &shard, const std::optional<PlacementReply> &reply,
                     const PlacementHandle &placement);
    void chooseLocally(const std::optional<EngineShard> &shard);
    void beginAttempt();
    void sendAttempt();
    bool needsPlace() const;
    void requestPlace();
    void onPlace(WaitingAttempt &waiting, const std::optional<PlaceReply> &reply,
                 std::uint64_t number);
    void takeUpAttempt(WaitingAttempt &waiting, std::uint64_t upstream);
    void onNoLender(WaitingAttempt &waiting);
    void rejectWithoutPlace(std::chrono::milliseconds retryAfter);
    std::chrono::milliseconds placePatience() const;
    void dropAttempt();
    ChoiceTerms choiceTerms() const;
    bool selectUpstream();
    void handleNoUpstream();
    void onConnected(std::shared_ptr<HttpChannel> channel, const ErrorCode &ec);
    void onProxied(std::shared_ptr<HttpChannel> channel, ProxyResult result);
    bool beginsInTime() const;
    void sendRequest();
    void rejectLostStream(Reason reason, std::chrono::milliseconds retryAfter);
    bool resumesStream() const;
    void recordResumption();
    void recordOrigin();
    void handleFailure(const FailedAttempt &failure);
    bool mayEndWithConnection() const;
    bool mayStreamBeWhole() const;
    bool hasNoFraming() const;
    void handleCutAnswer();
    void handleAnswer();
    // `isComplete`: its body has been read to the end.
    void handleRejection(bool isComplete);
    bool forwardEvents(std::string_view bytes);
    bool holdPartialEvent();
    bool isEndlessError(std::size_t bytes);
    bool isTooLarge(std::size_t bytes, std::size_t maxBytes);
    bool isTooUseless(std::size_t bytes, std::size_t maxBytes);
    void handleUselessAnswer(std::string_view cause);
    void onEventOutOfOrder();
    bool skipBody(std::size_t n);
    bool collectBody(std::string_view bytes);
    bool beginPassThrough();
    void endPassThrough();
    std::optional<Reason> admit();
    void recordPromptComputed();
    void recordEvent();
    void beginStream();
    void cutStream(std::string_view outcome);
    http::response_header<> answerHead() const;
    void endAttempt(bool reusable);
    void onDeadline();
    void rejectWith(const Verdict &verdict);
    void forwardAnswer();
    void finish(std::string_view outcome, unsigned status);
    void logEndInStop(std::string_view outcome, unsigned status) const;
    void startDeadlineTimer();
    std::chrono::milliseconds remainingTime() const;
    std::chrono::milliseconds retryAfter();
    RequestFingerprint fingerprint() const;
    RequestIdentity identity() const;
    bool isStreamed() const;

    NodeState &m_state;
    AnswerWriter &m_writer;
    http::request_header<> m_head;
    std::shared_ptr<const std::string> m_body;
    BufferBudget::Buffer m_bodyBuffer;
    BufferBudget::Buffer m_answerBuffer; // the part of an answer that cannot be passed on yet
    const TimePoint m_arrived;
    platform::CallerHead m_caller;
    AdmittedCall m_call;
    CallPlan m_plan{CallPolicy{}};
    std::optional<UpstreamAttempt> m_attempt;
    DeadlineTimer m_deadlineTimer;
    TimeoutTimer m_retryTimer; // runs while no upstream is available
    EventSplitter m_eventSplitter;
    std::optional<StreamOrigin> m_origin; // of a resumable stream that has begun
    bool m_streamStarted = false; // the caller has received a part of the answer
    StreamEnd m_streamEnd = StreamEnd::LastChunk; // as the caller is told it
    unsigned m_streamStatus = 0; // of the head that the caller has
    bool m_mayBeWhole = false; // the last run ended with its connection, and no other one began
    bool m_isPassedThrough = false; // an answer too large to hold is forwarded as it arrives
    const std::shared_ptr<CallCounts> m_counts;
    bool m_hasBegun = false;
    bool m_isFinished = false;
    bool m_hasInputEnded = false; // of the caller, which is taken to wait for this attempt's answer
    bool m_hasWaitedForVersion = false; // for upstreams of the version that began the stream
    bool m_hasAskedForTrial = false; // of a request that is held for a part of its prompt
    std::optional<TimePoint> m_firstEventAt;
    TimePoint m_lastEventAt{};
    Duration m_longestPause{}; // between events
    std::string m_lastUpstream; // instance id, for the log
    std::optional<Unavailability> m_unavailable; // why no upstream accepts the request
    std::size_t m_missedLenders = 0; // that did not reply for this request
    std::set<std::string> m_failedProxies; // peers that did not connect this request
    std::optional<EngineChoice> m_busyEngine; // the least loaded engine, if all are overloaded
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CALL_HANDLER_HPP_INCLUDED
