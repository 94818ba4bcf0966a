// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CALLER_SESSION_HPP_INCLUDED
#define FORDWOOD_NODE_CALLER_SESSION_HPP_INCLUDED

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tuple>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "fordwood/buffer_budget.hpp"
#include "node/answer_writer.hpp"
#include "node/call_handler.hpp"
#include "node/connection_end.hpp"
#include "node/node_state.hpp"
#include "node/request_parser.hpp"
#include "node/timeout_timer.hpp"

namespace fordwood::node {

// One connection of a caller, which carries one request and answer after the other. An idle
// connection holds no buffer, only its socket and a timer.
class CallerSession : public AnswerWriter, public std::enable_shared_from_this<CallerSession>
{
public:
    using OnClosed = std::function<void(CallerSession *)>;

    CallerSession(NodeState &state, tcp::socket socket, OnClosed onClosed);

    void start();

    // For a planned stop: closes the connection once it has been idle for a moment. The answer to a
    // request that arrives before announces the close.
    void closeWhenIdle();

    // The planned stop ends: ends the request that is open, if there is one.
    void endForStop();

    // Whether a request is open.
    bool hasRequest() const { return m_call != nullptr; }

    // Whether the request that is open has been sent to an upstream.
    bool isAtUpstream() const { return m_call && m_call->isAtUpstream(); }

    // Whether a request has begun to arrive that is not whole yet.
    bool isReadingRequest() const { return m_incoming && m_incoming->parser.got_some(); }

    // What a connection without a whole request does, and since when. Ordered by which makes room
    // for another one first: callers that keep a connection for their requests lose it only after
    // those that have sent none, and what is being read is worth more than an idle connection. What
    // has arrived and is not read may be a whole request.
    struct Rest
    {
        enum class Kind { Unused, Idle, Reading, Unread };

        Kind kind = Kind::Unused;
        TimePoint since{};

        bool operator<(const Rest &other) const
        {
            return std::tie(kind, since) < std::tie(other.kind, other.since);
        }
    };

    // Nothing while the connection has a request, or an answer is sent.
    std::optional<Rest> rest();

    // Closes the connection, which rests, to make room for another one.
    void makeRoom() { close(ConnectionEnd::Idle); }

    // Logs the request that is open as a planned stop begins.
    void logOpenInStop();

    // Logs the request that is open shortly before the end of a planned stop.
    void logOpenLate() const;

    // Closes the connection at the end of a planned stop, whatever is open.
    void closeForStop() { close(ConnectionEnd::Stopped); }

    // Whether the caller has not been sent all of an answer yet.
    bool hasUnsentBytes() const { return !m_outgoing.empty(); }

    // As hasUnsentBytes(), or the caller's side has not acknowledged all that was sent.
    bool hasUndeliveredBytes() { return hasUnsentBytes() || unacknowledgedBytes(m_socket) > 0; }

    // Closes the connection if the caller has read nothing of its answer for too long.
    void closeIfUnread();

    // From AnswerWriter:
    void setTeam(const std::string &team) override { m_outgoingBuffer.setTeam(team); }
    void sendAnswer(http::response_header<> head, std::string body) override;
    void beginStream(http::response_header<> head, StreamEnd end) override;
    bool sendChunk(std::string_view bytes) override;
    void endStream() override;
    void abort() override;

private:
    // The state of a request that is being read; an idle connection has none.
    struct IncomingRequest
    {
        IncomingRequest(boost::beast::flat_buffer bytes, NodeState &state,
                        std::function<void()> giveUp)
            : buffer(std::move(bytes)), held(state.buffers()),
              entry(state.incomingRequests(), std::move(giveUp))
        { }

        // What it takes in memory.
        std::size_t bytes() const
        {
            return buffer.capacity() + parser.headBytes() + parser.get().body().capacity();
        }

        boost::beast::flat_buffer buffer;
        RequestParser parser;
        BufferBudget::Buffer held; // the head and the body
        IncomingRequests::Entry entry;
        std::size_t readBytes = 1'024; // at once, as much as the caller sends
        TimePoint since{}; // when its reading began
        TimePoint headAt{}; // when its head was whole; zero: it is not
    };

    void waitForRequest();
    void readHead();
    void readMore();
    void readOn();
    bool parseInput();
    void handleInput(const ErrorCode &ec);
    void handleHead();
    void giveUpIncoming();
    void keepUnparsed(const boost::beast::flat_buffer &bytes);
    void handleRequest();
    void watchForDisconnect();
    void handleInputEnd();
    bool mayRequestFollow() const { return !m_hasInputEnded || m_unparsed.size() > 0; }
    void watchForFailure();
    void decidePresence();
    void handleReadError(const ErrorCode &ec);
    void reject(Reason reason, http::status status,
                std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0));
    void startTimer(Duration timeout, void (CallerSession::*onExpired)());
    void handleReadTimeout();
    CallerLimits callerLimits() const;
    void setConnectionField(http::response_header<> &head) const;
    void append(std::string bytes);
    void writeNext();
    void onWritten(std::size_t n);
    void onAnswerWritten();
    void handleDisconnect();
    void releaseCall();
    void close(ConnectionEnd end);
    void closeIdle() { close(ConnectionEnd::Idle); }
    void closeAnswered() { close(ConnectionEnd::Answered); }
    void closeIfIdle();
    void resetOnClose(bool isReset);
    void lingeringClose();
    void discardInput();
    void logInStop(bool wasOpen);
    std::string callerAddress() const;
    RequestLeft requestLeft();
    void recordEnd(ConnectionEnd end);
    void logUnhandledInput();

    NodeState &m_state;
    tcp::socket m_socket;
    tcp::endpoint m_caller; // known also after the connection has failed
    TimeoutTimer m_timer;
    OnClosed m_onClosed;
    std::shared_ptr<IncomingRequest>
        m_incoming; // a pending read shares it until its handler has run
    boost::beast::flat_buffer m_unparsed; // bytes received beyond the last request
    std::shared_ptr<CallHandler> m_call;
    std::string m_requestId; // of the last request, for the log
    TimePoint m_wholeAt{}; // the last request
    Duration m_readTime{}; // from its head to its last byte
    std::size_t m_bodyBytes = 0;
    bool m_isChunked = false; // its body came in chunks
    std::deque<std::string> m_outgoing;
    std::size_t m_frontWritten = 0; // bytes of the first outgoing text that are written
    BufferBudget::Buffer m_outgoingBuffer;
    TimePoint m_lastProgress{}; // when the caller last read a part of the outgoing bytes
    TimePoint m_idleSince{}; // the end of the last answer, or the begin of the connection
    bool m_isWriting = false;
    bool m_isAnswerComplete = false; // m_outgoing holds the rest of the answer
    StreamEnd m_streamEnd = StreamEnd::LastChunk;
    bool m_isCallerSlow = false; // sendChunk() has returned false
    bool m_keepAlive = true;
    bool m_closesWhenIdle = false;
    bool m_isClosing = false; // no more requests are read and nothing is sent
    std::size_t m_discardedBytes = 0; // input that arrived while the connection was closing
    ConnectionEnd m_abortEnd = ConnectionEnd::AnswerCut; // what abort() counts as
    bool m_isOpenAtEnd = false; // the connection closes before the answer is complete
    bool m_hasInputEnded = false; // the caller has closed its sending side, or the connection
    bool m_hasTakenMore = false; // a part of the answer was sent since
    bool m_isClosed = false;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CALLER_SESSION_HPP_INCLUDED
