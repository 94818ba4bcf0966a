// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CALL_HANDLER_HPP_INCLUDED
#define FORDWOOD_NODE_CALL_HANDLER_HPP_INCLUDED

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "fordwood/call_plan.hpp"
#include "fordwood/event_splitter.hpp"
#include "fordwood/request_fingerprint.hpp"
#include "node/admitted_call.hpp"
#include "node/answer_writer.hpp"
#include "node/deadline_timer.hpp"
#include "node/http_channel.hpp"
#include "node/node_state.hpp"
#include "node/upstream_attempt.hpp"
#include "node/upstream_choice.hpp"
#include "platform/caller_messages.hpp"

namespace fordwood::node {

// One request of a caller from its arrival to its last byte: finds the route and the team, has an
// upstream chosen, sends, passes the answer on, and follows CallPlan when an attempt fails.
class CallHandler : public AnswerHandler, public std::enable_shared_from_this<CallHandler>
{
public:
    // `arrived`: when the request began to arrive. `port` must live until the run has ended it or
    // onCallerDisconnect() was called.
    CallHandler(NodeState &state, AnswerWriter &writer, http::request_header<> head,
                std::string body, TimePoint arrived);

    void start();

    // The caller has closed its connection.
    void onCallerDisconnect();

    // The caller takes more of the stream.
    void onCallerReady();

    // From AnswerHandler:
    void onHead(const http::response_header<> &head) override;
    bool onBody(std::string_view bytes) override;
    void onAnswerEnd() override;
    void onChannelFailure(const ErrorCode &cause) override;

private:
    void startAttempt();
    bool isQuarantined() const;
    void rejectQuarantined();
    void recordDisconnect();
    void recordAnswered();
    void recordUnanswered();
    bool selectUpstream();
    void handleNoUpstream();
    void onConnected(std::shared_ptr<HttpChannel> channel, const ErrorCode &ec);
    bool beginsInTime() const;
    void sendRequest();
    void handleFailure(const FailedAttempt &failure);
    void handleAnswer();
    void handleRejection();
    bool forwardEvents(std::string_view bytes);
    void recordPromptComputed();
    void beginStream();
    http::response_header<> answerHead() const;
    void endAttempt(bool reusable);
    void onDeadline();
    void rejectWith(const Verdict &verdict);
    void forwardAnswer();
    void finish(std::string_view outcome, unsigned status);
    void startDeadlineTimer();
    std::chrono::milliseconds remainingTime() const;
    std::chrono::milliseconds retryAfter();
    RequestFingerprint fingerprint() const;
    bool isStreamed() const;

    NodeState &m_state;
    AnswerWriter &m_writer;
    http::request_header<> m_head;
    std::shared_ptr<const std::string> m_body;
    const TimePoint m_arrived;
    platform::CallerHead m_caller;
    AdmittedCall m_call;
    CallPlan m_plan{CallTerms{}};
    std::optional<UpstreamAttempt> m_attempt;
    DeadlineTimer m_deadlineTimer;
    net::steady_timer m_retryTimer; // while no upstream may be used
    EventSplitter m_eventSplitter;
    bool m_streamStarted = false; // a part of the answer has gone to the caller
    bool m_isFinished = false;
    std::optional<TimePoint> m_firstEventAt;
    std::string m_lastUpstream; // for the log
    std::optional<Unavailability> m_unavailable; // why no upstream takes the request now
    std::optional<EngineChoice> m_busyEngine; // every engine has too much to do, this one least
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CALL_HANDLER_HPP_INCLUDED
