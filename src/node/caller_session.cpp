// SPDX-License-Identifier: MIT
#include "node/caller_session.hpp"

#include <algorithm>
#include <sstream>
#include <sys/socket.h>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "adapters/observe/event_log.hpp"
#include "fordwood/caller_presence.hpp"
#include "node/refusal.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

// Time limit for reading a request body. The largest bodies have a few MB.
constexpr Duration kBodyTimeout = std::chrono::seconds(10);

// The callers that fill the buffers read slowly, or not at all until the unread timeout.
constexpr std::chrono::milliseconds kBuffersFullRetryAfter{1'000};

// A caller that does not acknowledge sent bytes for this long is considered gone.
constexpr Duration kUnacknowledgedTimeout = std::chrono::seconds(5);

// Before the connection is closed, input of the caller is read and discarded for up to this time:
// closing with unread input would reset the connection, and the caller could lose the answer.
constexpr Duration kLingerTimeout = std::chrono::milliseconds(500);

// What may be read ahead of what is parsed, beside a head: parts of a body, the lines between
// chunks, and trailers, which are held until they are whole.
constexpr std::size_t kReadAheadBytes = 16'384;

// What is read at once. A crowd of callers that send little should not cost much for each.
constexpr std::size_t kMaxReadBytes = 16'384;

// Requests that a caller sends before it has the answer to the last one.
constexpr std::size_t kMaxUnparsedBytes = 16'384;

// During a planned stop, a caller that has just connected, or has just received an answer whose
// head did not announce the close, has this time to send a request. That one's answer announces it.
constexpr Duration kLastRequestTime = std::chrono::milliseconds(500);

std::string serializeHead(const http::response_header<> &head)
{
    std::ostringstream out;
    out << head;
    return out.str();
}

// Encodes a chunk of an answer that is sent without a Content-Length.
std::string encodeChunk(std::string_view bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

} // namespace

CallerSession::CallerSession(NodeState &state, tcp::socket socket, OnClosed onClosed)
    : m_state(state), m_socket(std::move(socket)), m_timer(m_socket.get_executor()),
      m_onClosed(std::move(onClosed)), m_outgoingBuffer(state.buffers())
{
    ErrorCode ec; // the connection may have failed already
    m_caller = m_socket.remote_endpoint(ec);
}

void CallerSession::start()
{
    enableDeadPeerDetection(m_socket, kUnacknowledgedTimeout);
    limitSocketBuffers(m_socket, m_state.buffers().limits().perChannel);
    waitForRequest();
}

CallerLimits CallerSession::callerLimits() const
{
    return m_state.table() ? m_state.table()->config().limits : CallerLimits{};
}

void CallerSession::startTimer(Duration timeout, void (CallerSession::*onExpired)())
{
    m_timer.start(timeout, [self = shared_from_this(), onExpired] { ((*self).*onExpired)(); });
}

void CallerSession::waitForRequest()
{
    if (m_unparsed.size() > 0) {
        readHead();
        return;
    }
    m_unparsed.shrink_to_fit();
    m_idleSince = m_state.clock().now();
    if (m_closesWhenIdle)
        startTimer(kLastRequestTime, &CallerSession::closeIfIdle);
    else
        startTimer(callerLimits().idleTimeout, &CallerSession::closeIdle);
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode &ec) {
        // A request that arrives during the close is not read: its answer could not be sent.
        if (!ec && !self->m_isClosed && !self->m_isClosing)
            self->readHead();
    });
}

void CallerSession::readHead()
{
    const CallerLimits current = callerLimits();
    m_incoming = std::make_shared<IncomingRequest>(std::move(m_unparsed), m_state,
                                                   [self = weak_from_this()] {
                                                       if (const auto session = self.lock())
                                                           session->giveUpIncoming();
                                                   });
    m_unparsed = {};
    m_incoming->since = m_state.clock().now();
    m_incoming->buffer.max_size(current.maxHeaderBytes + kReadAheadBytes);
    m_incoming->parser.header_limit(static_cast<std::uint32_t>(current.maxHeaderBytes));
    m_incoming->parser.body_limit(current.maxBodyBytes);
    m_incoming->parser.eager(true);
    startTimer(current.headerTimeout, &CallerSession::handleReadTimeout);
    if (m_incoming->buffer.size() > 0)
        handleInput({});
    else
        readMore();
}

// Boost.Beast's own reads return only once a part is parsed, and what arrives until then could not
// be counted.
void CallerSession::readMore()
{
    boost::beast::flat_buffer &buffer = m_incoming->buffer;
    const std::size_t space = std::min(m_incoming->readBytes, buffer.max_size() - buffer.size());
    if (space == 0) {
        handleReadError(http::error::buffer_overflow);
        return;
    }
    m_socket.async_read_some(buffer.prepare(space),
                             [self = shared_from_this(), incoming = m_incoming,
                              space](const ErrorCode &ec, std::size_t n) {
                                 incoming->buffer.commit(n);
                                 if (n == space)
                                     incoming->readBytes = std::min(2 * space, kMaxReadBytes);
                                 if (!self->m_isClosed && incoming == self->m_incoming)
                                     self->handleInput(ec);
                             });
}

// Parses what has arrived. Returns false if the request has been rejected for it.
bool CallerSession::parseInput()
{
    IncomingRequest &incoming = *m_incoming;
    ErrorCode ec;
    while (!incoming.parser.is_done() && incoming.buffer.size() > 0) {
        incoming.buffer.consume(incoming.parser.put(incoming.buffer.data(), ec));
        if (ec == http::error::need_more)
            break;
        if (ec) {
            handleReadError(ec);
            return false;
        }
    }
    return true;
}

void CallerSession::handleInput(const ErrorCode &ec)
{
    if (ec) {
        handleReadError(ec);
        return;
    }
    if (!parseInput())
        return;
    const std::shared_ptr<IncomingRequest> incoming = m_incoming;
    incoming->entry.resize(incoming->bytes());
    if (incoming != m_incoming) // given up, since all together take too much
        return;
    incoming->held.resize(incoming->parser.get().body().size() + incoming->parser.headBytes());
    if (!m_state.buffers().mayHoldRequest(incoming->held)) {
        reject(Reason::BuffersFull, http::status::service_unavailable, kBuffersFullRetryAfter);
        return;
    }
    if (incoming->parser.is_header_done() && incoming->headAt == TimePoint{})
        handleHead();
    else
        readOn();
}

void CallerSession::readOn()
{
    if (m_incoming->parser.is_done())
        handleRequest();
    else
        readMore();
}

void CallerSession::handleHead()
{
    m_incoming->headAt = m_state.clock().now();
    startTimer(kBodyTimeout, &CallerSession::handleReadTimeout);
    const auto expectation = m_incoming->parser.get()[http::field::expect];
    if (m_incoming->parser.is_done() || !boost::beast::iequals(expectation, "100-continue")) {
        readOn();
        return;
    }
    static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    net::async_write(m_socket, net::buffer(kContinue),
                     [self = shared_from_this()](const ErrorCode &writeEc, std::size_t) {
                         if (writeEc)
                             self->close(ConnectionEnd::CallerFailed);
                         else if (!self->m_isClosed && self->m_incoming)
                             self->readOn();
                     });
}

std::optional<CallerSession::Rest> CallerSession::rest()
{
    if (m_isClosed || m_isClosing || m_call || !m_outgoing.empty())
        return std::nullopt;
    ErrorCode ec; // a connection that has failed has nothing to read
    if (m_incoming)
        return Rest{Rest::Kind::Reading, m_incoming->since};
    if (m_socket.available(ec) > 0)
        return Rest{Rest::Kind::Unread, m_idleSince};
    const bool hasHadRequest = m_wholeAt != TimePoint{};
    return Rest{hasHadRequest ? Rest::Kind::Idle : Rest::Kind::Unused, m_idleSince};
}

// The read that is pending would keep what the request takes.
void CallerSession::giveUpIncoming()
{
    if (m_isClosed || !m_incoming)
        return;
    ErrorCode ec; // fails if the connection has ended
    m_socket.cancel(ec);
    reject(Reason::BuffersFull, http::status::service_unavailable, kBuffersFullRetryAfter);
}

// Keeps what belongs to the next request, in a buffer of its size. A caller that sends more ahead
// is not read on: its connection closes with the answer.
void CallerSession::keepUnparsed(const boost::beast::flat_buffer &bytes)
{
    m_unparsed = {};
    if (bytes.size() > kMaxUnparsedBytes) {
        m_keepAlive = false;
        return;
    }
    m_unparsed.commit(net::buffer_copy(m_unparsed.prepare(bytes.size()), bytes.data()));
}

void CallerSession::handleRequest()
{
    m_timer.cancel();
    m_wholeAt = m_state.clock().now();
    const bool hasHeadTime = m_incoming->headAt != TimePoint{}; // all of it came at once
    m_readTime = hasHeadTime ? m_wholeAt - m_incoming->headAt : Duration::zero();
    m_isChunked = m_incoming->parser.chunked();
    const std::shared_ptr<IncomingRequest> incoming = std::move(m_incoming);
    m_incoming.reset();
    auto request = incoming->parser.release();
    BufferBudget::Buffer held = std::move(incoming->held);
    m_keepAlive = request.keep_alive();
    keepUnparsed(incoming->buffer);
    m_isAnswerComplete = false;
    m_isCallerSlow = false;
    m_hasInputEnded = false;
    m_hasTakenMore = false;
    std::string body = std::move(request.body());
    m_bodyBytes = body.size();
    m_call = std::make_shared<CallHandler>(m_state, *this, std::move(request.base()),
                                           HeldBody{std::move(body), std::move(held)}, m_wholeAt);
    m_requestId = m_call->requestId();
    if (m_state.stop().hasBegun())
        logInStop(false);
    m_call->start();
    if (m_call)
        watchForDisconnect();
}

void CallerSession::watchForDisconnect()
{
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode &ec) {
        if (ec || self->m_isClosed || !self->m_call)
            return;
        char byte = 0;
        const auto n
            = ::recv(self->m_socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
        // The bytes belong to the next request and are read after the answer. If the caller has
        // closed the connection behind them, that is detected then.
        if (n > 0)
            return;
        if (n == 0)
            self->handleInputEnd();
        else if (errno == EAGAIN || errno == EWOULDBLOCK)
            self->watchForDisconnect();
        else
            self->handleDisconnect();
    });
}

// The caller has left, or has closed its sending side only. In both cases it sends nothing more.
void CallerSession::handleInputEnd()
{
    m_hasInputEnded = true;
    watchForFailure();
    startTimer(EndedInput::kDecisionTime, &CallerSession::decidePresence);
}

// Once the input has ended, a caller that leaves shows by a reset alone.
void CallerSession::watchForFailure()
{
    m_socket.async_wait(tcp::socket::wait_error, [self = shared_from_this()](const ErrorCode &ec) {
        if (!ec && !self->m_isClosed && self->m_call && hasFailed(self->m_socket))
            self->handleDisconnect();
    });
}

void CallerSession::decidePresence()
{
    if (!m_call)
        return;
    if (hasFailed(m_socket)) {
        handleDisconnect();
        return;
    }
    // The connection of a caller that has left would have failed under bytes that it does not read.
    const bool readsSlowly = hasUnsentBytes();
    m_abortEnd = ConnectionEnd::CallerLeft;
    m_call->onInputEnded(!m_keepAlive, m_hasTakenMore || readsSlowly);
    m_abortEnd = ConnectionEnd::AnswerCut;
}

void CallerSession::handleDisconnect()
{
    const auto call = std::move(m_call);
    m_call.reset();
    m_isOpenAtEnd = call != nullptr;
    if (call)
        call->onCallerDisconnect();
    close(ConnectionEnd::CallerFailed);
}

void CallerSession::handleReadTimeout()
{
    reject(Reason::ReadTimeout, http::status::request_timeout);
}

void CallerSession::handleReadError(const ErrorCode &ec)
{
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        reject(Reason::MalformedRequest, http::status::request_header_fields_too_large);
    else if (ec == http::error::body_limit)
        reject(Reason::BodyTooLarge, http::status::payload_too_large);
    else if (ec == http::error::end_of_stream || ec == http::error::partial_message
             || ec.category() != http::make_error_code(http::error::end_of_stream).category())
        close(ConnectionEnd::CallerClosed);
    else
        reject(Reason::MalformedRequest, http::status::bad_request);
}

void CallerSession::reject(Reason reason, http::status status, std::chrono::milliseconds retryAfter)
{
    const bool isFirstByteMissing = m_incoming && !m_incoming->parser.got_some();
    if (isFirstByteMissing) {
        close(ConnectionEnd::Idle);
        return;
    }
    m_state.metrics().countRefusal(reason);
    logEvent(Event::CallerRefused, {{"reason", std::string(info(reason).name)},
                                    {"status", static_cast<unsigned>(status)}});
    m_timer.cancel();
    m_keepAlive = false;
    m_incoming.reset();
    http::response_header<> head;
    head.result(status);
    head.version(11);
    if (retryAfter.count() > 0)
        head.set(http::field::retry_after, secondsText(retryAfter));
    sendAnswer(std::move(head), {});
}

void CallerSession::setConnectionField(http::response_header<> &head) const
{
    if (!m_keepAlive || m_closesWhenIdle || !mayRequestFollow() || m_state.stop().hasBegun())
        head.set(http::field::connection, "close");
}

void CallerSession::sendAnswer(http::response_header<> head, std::string body)
{
    constexpr unsigned kNoContent = 204;
    constexpr unsigned kNotModified = 304;
    const unsigned status = head.result_int();
    setConnectionField(head);
    if (head.find(http::field::connection) != head.end())
        m_keepAlive = false;
    if (status != kNoContent && status != kNotModified)
        head.set(http::field::content_length, std::to_string(body.size()));
    append(serializeHead(head) + body);
    m_isAnswerComplete = true;
    releaseCall();
    writeNext();
}

void CallerSession::beginStream(http::response_header<> head, StreamEnd end)
{
    m_streamEnd = end;
    if (end == StreamEnd::Connection) {
        m_keepAlive = false;
        resetOnClose(true);
    } else {
        head.set(http::field::transfer_encoding, "chunked");
    }
    setConnectionField(head);
    if (head.find(http::field::connection) != head.end())
        m_keepAlive = false;
    append(serializeHead(head));
    writeNext();
}

// Until the answer is complete, whatever closes the connection resets it, the end of the process
// as well: an orderly close would tell the caller that the answer is complete.
void CallerSession::resetOnClose(bool isReset)
{
    ErrorCode ec; // fails if the connection has ended
    m_socket.set_option(net::socket_base::linger(isReset, 0), ec);
}

bool CallerSession::sendChunk(std::string_view bytes)
{
    append(m_streamEnd == StreamEnd::LastChunk ? encodeChunk(bytes) : std::string(bytes));
    writeNext();
    m_isCallerSlow = !m_state.buffers().mayReadAnswer(m_outgoingBuffer);
    if (m_isCallerSlow)
        m_state.metrics().count("fordwood_paused_answers_total");
    return !m_isCallerSlow;
}

void CallerSession::endStream()
{
    if (m_streamEnd == StreamEnd::LastChunk)
        append("0\r\n\r\n");
    m_isAnswerComplete = true;
    releaseCall();
    writeNext();
}

void CallerSession::abort()
{
    m_isOpenAtEnd = true;
    releaseCall();
    close(m_abortEnd);
}

void CallerSession::releaseCall()
{
    // This function is called by the CallHandler itself, so it must not be destroyed yet.
    net::post(m_socket.get_executor(), [call = std::move(m_call)] {});
    m_call.reset();
}

void CallerSession::append(std::string bytes)
{
    if (m_outgoing.empty())
        m_lastProgress = m_state.clock().now();
    m_outgoingBuffer.add(bytes.size());
    m_outgoing.push_back(std::move(bytes));
}

void CallerSession::writeNext()
{
    if (m_isWriting || m_isClosed)
        return;
    if (m_outgoing.empty()) {
        if (m_isAnswerComplete)
            onAnswerWritten();
        return;
    }
    m_isWriting = true;
    const auto unwritten = net::buffer(m_outgoing.front()) + m_frontWritten;
    m_socket.async_write_some(unwritten,
                              [self = shared_from_this()](const ErrorCode &ec, std::size_t n) {
                                  self->m_isWriting = false;
                                  if (self->m_isClosed)
                                      return;
                                  if (ec)
                                      self->handleDisconnect();
                                  else
                                      self->onWritten(n);
                              });
}

void CallerSession::onWritten(std::size_t n)
{
    m_lastProgress = m_state.clock().now();
    m_hasTakenMore = m_hasInputEnded;
    m_frontWritten += n;
    if (m_frontWritten == m_outgoing.front().size()) {
        m_outgoingBuffer.remove(m_frontWritten);
        m_outgoing.pop_front();
        m_frontWritten = 0;
    }
    if (m_isCallerSlow && m_call && m_state.buffers().mayReadAnswer(m_outgoingBuffer)) {
        m_isCallerSlow = false;
        m_call->onCallerReady();
    }
    writeNext();
}

// Without this, a caller that stops reading keeps its part of the answer in memory for good: it
// still acknowledges the probes of its closed receive window.
void CallerSession::closeIfUnread()
{
    const Duration unreadFor = m_state.clock().now() - m_lastProgress;
    if (m_isClosed || m_outgoing.empty() || unreadFor < m_state.settings().callers.unreadTimeout)
        return;
    logEvent(Event::AnswerUnread, {{"bytes", m_outgoingBuffer.bytes()}, {"unread_ms", unreadFor}});
    m_state.metrics().count("fordwood_unread_answers_total");
    resetOnClose(true); // otherwise the kernel keeps the unsent bytes a little longer
    close(ConnectionEnd::AnswerUnread);
}

void CallerSession::onAnswerWritten()
{
    m_isAnswerComplete = false;
    if (std::exchange(m_streamEnd, StreamEnd::LastChunk) == StreamEnd::Connection)
        resetOnClose(false);
    m_outgoing.shrink_to_fit();
    if (m_keepAlive && mayRequestFollow())
        waitForRequest();
    else
        lingeringClose();
}

void CallerSession::closeWhenIdle()
{
    m_closesWhenIdle = true;
    const bool isIdle = !m_call && !m_incoming && m_outgoing.empty();
    if (!isIdle || m_isClosing) // the timer of a session that is closing must go on
        return;
    const Duration idleFor = m_state.clock().now() - m_idleSince;
    if (idleFor < kLastRequestTime)
        startTimer(kLastRequestTime - idleFor, &CallerSession::closeIfIdle);
    else
        closeIfIdle();
}

// A request that has already arrived is answered first. One that crosses the close must not be
// read: its caller may send it elsewhere only if it knows that.
void CallerSession::closeIfIdle()
{
    if (isOpenAndIdle(m_socket))
        closeIdle();
}

void CallerSession::logOpenInStop()
{
    if (m_call)
        logInStop(true);
}

// With the caller's address, a record of callers or of a balancer tells what became of it there.
void CallerSession::logInStop(bool wasOpen)
{
    if (!m_state.mayLogInStop())
        return;
    logEvent(Event::RequestInStop, {{"request", m_requestId},
                                    {"caller", callerAddress()},
                                    {"open", wasOpen},
                                    {"chunked", m_isChunked},
                                    {"body_bytes", m_bodyBytes},
                                    {"read_ms", m_readTime},
                                    {"arrived_ms", m_state.stop().elapsed(m_wholeAt)}});
}

std::string CallerSession::callerAddress() const
{
    return m_caller.address().to_string() + ":" + std::to_string(m_caller.port());
}

void CallerSession::logOpenLate() const
{
    if (m_call)
        m_call->logOpenLate();
}

void CallerSession::endForStop()
{
    m_abortEnd = ConnectionEnd::Stopped;
    if (m_call)
        m_call->onStopEnd();
}

void CallerSession::lingeringClose()
{
    if (m_isClosed || m_isClosing)
        return;
    m_isClosing = true;
    ErrorCode ec; // fails if the caller has already disconnected
    m_socket.shutdown(tcp::socket::shutdown_send, ec);
    if (ec) {
        closeAnswered();
        return;
    }
    startTimer(kLingerTimeout, &CallerSession::closeAnswered);
    discardInput();
}

void CallerSession::discardInput()
{
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode &ec) {
        if (ec || self->m_isClosed)
            return;
        std::array<char, 4'096> bytes{};
        const auto n
            = ::recv(self->m_socket.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT);
        self->m_discardedBytes += n > 0 ? static_cast<std::size_t>(n) : 0;
        const bool mayHaveMore = n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
        if (mayHaveMore)
            self->discardInput();
        else
            self->closeAnswered();
    });
}

// A request that crosses the close of its connection gets no answer and has no other line.
void CallerSession::logUnhandledInput()
{
    const std::size_t held = m_unparsed.size() + (m_incoming ? m_incoming->buffer.size() : 0);
    ErrorCode ec; // a connection that has failed has nothing to read
    const std::size_t unread = m_socket.available(ec);
    const bool isReading = isReadingRequest();
    if (held + unread + m_discardedBytes == 0 && !isReading)
        return;
    const std::string request = m_incoming && m_incoming->parser.is_header_done()
                                    ? platform::readCallerHead(m_incoming->parser.get()).requestId
                                    : "";
    m_state.metrics().count("fordwood_discarded_inputs_total");
    logEvent(Event::InputDiscarded, {{"request", request},
                                     {"caller", callerAddress()},
                                     {"reading", isReading},
                                     {"held", held},
                                     {"unread", unread},
                                     {"discarded", m_discardedBytes},
                                     {"ms", m_state.stop().elapsed(m_state.clock().now())}});
}

RequestLeft CallerSession::requestLeft()
{
    if (m_call || m_isOpenAtEnd)
        return RequestLeft::Open;
    if (isReadingRequest())
        return RequestLeft::Partial;
    // Closing with unread input resets the connection, with which the kernel drops what it holds.
    ErrorCode ec; // a connection that has failed has nothing to read
    const bool isReset = m_socket.available(ec) > 0 && unacknowledgedBytes(m_socket) > 0;
    return isReset || !m_outgoing.empty() ? RequestLeft::Undelivered : RequestLeft::None;
}

// Tells what the connection's end leaves of its last request, also where the log is lost.
void CallerSession::recordEnd(ConnectionEnd end)
{
    const RequestLeft left = requestLeft();
    m_state.metrics().count(
        "fordwood_caller_connection_ends_total",
        {{"end", std::string(nameOf(end))}, {"request", std::string(nameOf(left))}});
    if (left != RequestLeft::Open && left != RequestLeft::Undelivered)
        return;
    const Event event = m_state.stop().hasBegun() ? Event::ConnectionEndedEarlyInStop
                                                  : Event::ConnectionEndedEarly;
    logEvent(event, {{"request", m_requestId},
                     {"caller", callerAddress()},
                     {"end", std::string(nameOf(end))},
                     {"left", std::string(nameOf(left))},
                     {"unsent", m_outgoingBuffer.bytes()},
                     {"unacknowledged", unacknowledgedBytes(m_socket)},
                     {"input_ended", m_hasInputEnded}});
}

void CallerSession::close(ConnectionEnd end)
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_timer.cancel();
    recordEnd(end);
    if (m_state.stop().hasBegun())
        logUnhandledInput();
    // The CallHandler would otherwise keep writing to this session.
    if (const auto call = std::exchange(m_call, nullptr))
        call->onCallerDisconnect();
    ErrorCode ec; // closing a closed socket is harmless
    m_socket.close(ec);
    m_outgoingBuffer.resize(0);
    // Posted, since callers of this function may still use the session.
    net::post(m_socket.get_executor(),
              [self = shared_from_this()] { self->m_onClosed(self.get()); });
}

} // namespace fordwood::node
