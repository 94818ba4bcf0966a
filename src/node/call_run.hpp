// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CALL_RUN_HPP_INCLUDED
#define FORDWOOD_NODE_CALL_RUN_HPP_INCLUDED

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "fordwood/call_plan.hpp"
#include "fordwood/event_splitter.hpp"
#include "fordwood/request_fingerprint.hpp"
#include "node/admitted_call.hpp"
#include "node/caller_port.hpp"
#include "node/deadline_timer.hpp"
#include "node/http_channel.hpp"
#include "node/traffic.hpp"
#include "node/upstream_attempt.hpp"
#include "node/upstream_choice.hpp"
#include "platform/caller_messages.hpp"

namespace fordwood::node {

// One request of a caller from its arrival to its last byte: finds the route and the team, has an
// upstream chosen, sends, passes the answer on, and follows CallPlan when an attempt fails.
class CallRun : public AnswerReader, public std::enable_shared_from_this<CallRun>
{
public:
    // `arrived`: when the request began to arrive. `port` must live until the run has ended it or
    // callerLeft() was called.
    CallRun(Traffic &traffic, CallerPort &port, http::request_header<> head, std::string body,
            TimePoint arrived);

    void start();

    // The caller has closed its connection.
    void callerLeft();

    // The caller takes more of the stream.
    void callerReady();

    // From AnswerReader:
    void headRead(const http::response_header<> &head) override;
    bool bodyRead(std::string_view bytes) override;
    void answerEnded() override;
    void channelFailed(const ErrorCode &cause) override;

private:
    void attempt();
    bool isHeld() const;
    void refuseHeld();
    void noteBrokeOff();
    void noteAnswered();
    void noteUnanswered();
    bool choose();
    void waitForUpstream();
    void connected(std::shared_ptr<HttpChannel> channel, const ErrorCode &ec);
    bool beginsInTime() const;
    void send();
    void judgeFailure(const FailedAttempt &failure);
    void judgeAnswer();
    void judgeRefusal();
    bool passEvents(std::string_view bytes);
    void noteComputed();
    void beginStream();
    http::response_header<> callersHead() const;
    void endAttempt(bool reusable);
    void deadlinePassed();
    void giveUp(const Verdict &verdict);
    void passOn();
    void finish(std::string_view outcome, unsigned status);
    void armDeadline();
    std::chrono::milliseconds remaining() const;
    std::chrono::milliseconds returnAfter();
    RequestFingerprint fingerprint() const;
    bool isStream() const;

    Traffic &m_traffic;
    CallerPort &m_port;
    http::request_header<> m_head;
    std::shared_ptr<const std::string> m_body;
    const TimePoint m_arrived;
    platform::CallerHead m_caller;
    AdmittedCall m_call;
    CallPlan m_plan{CallPolicy{}};
    std::optional<UpstreamAttempt> m_attempt;
    DeadlineTimer m_deadline;
    net::steady_timer m_retry; // while no upstream may be used
    EventSplitter m_events;
    bool m_streamBegun = false; // a part of the answer has gone to the caller
    bool m_isOver = false;
    std::optional<TimePoint> m_firstEvent;
    std::string m_lastUpstream; // for the log
    std::optional<Unavailability> m_unavailable; // why no upstream takes the request now
    std::optional<EngineChoice> m_busyEngine; // every engine has too much to do, this one least
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CALL_RUN_HPP_INCLUDED
