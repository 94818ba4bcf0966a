// SPDX-License-Identifier: MIT
#include "node/caller_session.hpp"

#include <sstream>
#include <sys/socket.h>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

// A body that does not arrive within this is given up; the largest are some MB.
constexpr Duration kBodyPatience = std::chrono::seconds(10);

// Bytes of a stream that wait for a slow caller before its upstream is no longer read.
constexpr std::size_t kMostOutgoing = 65'536;

// Callers that do not confirm bytes for so long are gone.
constexpr Duration kSilence = std::chrono::seconds(5);

// After an answer that ends the connection early, what the caller still sends is read for so long,
// so that the answer is not lost by a reset.
constexpr Duration kLinger = std::chrono::milliseconds(500);

std::string textOf(const http::response_header<> &head)
{
    std::ostringstream out;
    out << head;
    return out.str();
}

// A piece of an answer that has no length.
std::string chunkOf(std::string_view bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

} // namespace

CallerSession::CallerSession(Traffic &traffic, tcp::socket socket, Ended ended)
    : m_traffic(traffic), m_socket(std::move(socket)), m_timer(m_socket.get_executor()),
      m_ended(std::move(ended))
{ }

void CallerSession::start()
{
    watchForSilence(m_socket, kSilence);
    rest();
}

CallerLimits CallerSession::limits() const
{
    return m_traffic.table() ? m_traffic.table()->config().limits : CallerLimits{};
}

void CallerSession::setTimer(Duration patience, void (CallerSession::*passed)())
{
    m_timer.expires_after(patience);
    m_timer.async_wait([self = shared_from_this(), passed](const ErrorCode &ec) {
        if (!ec)
            ((*self).*passed)();
    });
}

void CallerSession::rest()
{
    if (m_closeWhenIdle) {
        lingeringClose();
        return;
    }
    if (m_left.size() > 0) {
        readHead();
        return;
    }
    m_left.shrink_to_fit();
    setTimer(limits().idleTimeout, &CallerSession::close);
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode &ec) {
        // What crosses the close is not taken: its answer could not be sent any more.
        if (!ec && !self->m_isClosed && !self->m_isClosing)
            self->readHead();
    });
}

void CallerSession::readHead()
{
    const CallerLimits now = limits();
    m_reading = std::make_shared<Reading>(std::move(m_left));
    m_left = {};
    m_reading->begun = m_traffic.clock().now();
    m_reading->parser.header_limit(static_cast<std::uint32_t>(now.maxHeaderBytes));
    m_reading->parser.body_limit(now.maxBodyBytes);
    setTimer(now.headerTimeout, &CallerSession::readTooSlow);
    http::async_read_header(
        m_socket, m_reading->buffer, m_reading->parser,
        [self = shared_from_this(), kept = m_reading](const ErrorCode &ec, std::size_t) {
            if (!self->m_isClosed && kept == self->m_reading)
                self->takeHead(ec);
        });
}

void CallerSession::takeHead(const ErrorCode &ec)
{
    if (ec) {
        refuse(ec);
        return;
    }
    setTimer(kBodyPatience, &CallerSession::readTooSlow);
    const auto expects = m_reading->parser.get()[http::field::expect];
    if (!boost::beast::iequals(expects, "100-continue")) {
        readBody();
        return;
    }
    static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    net::async_write(m_socket, net::buffer(kContinue),
                     [self = shared_from_this()](const ErrorCode &writeEc, std::size_t) {
                         if (writeEc)
                             self->close();
                         else if (!self->m_isClosed && self->m_reading)
                             self->readBody();
                     });
}

void CallerSession::readBody()
{
    http::async_read(
        m_socket, m_reading->buffer, m_reading->parser,
        [self = shared_from_this(), kept = m_reading](const ErrorCode &ec, std::size_t) {
            if (!self->m_isClosed && kept == self->m_reading)
                self->takeRequest(ec);
        });
}

void CallerSession::takeRequest(const ErrorCode &ec)
{
    if (ec) {
        refuse(ec);
        return;
    }
    m_timer.cancel();
    auto request = m_reading->parser.release();
    m_left = std::move(m_reading->buffer);
    const TimePoint begun = m_reading->begun;
    m_reading.reset();
    m_keepAlive = request.keep_alive();
    m_answerEnds = false;
    m_callerWaits = false;
    std::string body = std::move(request.body());
    m_run = std::make_shared<CallRun>(m_traffic, *this, std::move(request.base()), std::move(body),
                                      begun);
    m_run->start();
    if (m_run)
        watchCaller();
}

void CallerSession::watchCaller()
{
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode &ec) {
        if (ec || self->m_isClosed || !self->m_run)
            return;
        char byte = 0;
        const auto n
            = ::recv(self->m_socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
        // Bytes are the next request: it is read after the answer, and the close seen then.
        if (n > 0)
            return;
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            self->watchCaller();
        else
            self->callerGone();
    });
}

void CallerSession::callerGone()
{
    const auto run = std::move(m_run);
    m_run.reset();
    if (run)
        run->callerLeft();
    close();
}

void CallerSession::readTooSlow()
{
    refuseWith(Reason::ReadTimeout, http::status::request_timeout);
}

void CallerSession::refuse(const ErrorCode &ec)
{
    if (ec == http::error::header_limit)
        refuseWith(Reason::MalformedRequest, http::status::request_header_fields_too_large);
    else if (ec == http::error::body_limit)
        refuseWith(Reason::BodyTooLarge, http::status::payload_too_large);
    else if (ec == http::error::end_of_stream || ec == http::error::partial_message
             || ec.category() != http::make_error_code(http::error::end_of_stream).category())
        close(); // the caller has gone
    else
        refuseWith(Reason::MalformedRequest, http::status::bad_request);
}

void CallerSession::refuseWith(Reason reason, http::status status)
{
    const bool isFirstByteMissing = m_reading && !m_reading->parser.got_some();
    if (isFirstByteMissing) {
        close();
        return;
    }
    m_traffic.metrics().countRefusal(reason);
    logEvent(Event::CallerRefused, {{"reason", std::string(info(reason).name)},
                                    {"status", static_cast<unsigned>(status)}});
    m_timer.cancel();
    m_keepAlive = false;
    m_reading.reset();
    http::response_header<> head;
    head.result(status);
    head.version(11);
    sendWhole(std::move(head), {});
}

void CallerSession::setConnectionFields(http::response_header<> &head) const
{
    if (!m_keepAlive || m_closeWhenIdle || m_traffic.isStopping())
        head.set(http::field::connection, "close");
}

void CallerSession::sendWhole(http::response_header<> head, std::string body)
{
    constexpr unsigned kNoContent = 204;
    constexpr unsigned kNotModified = 304;
    const unsigned status = head.result_int();
    setConnectionFields(head);
    if (head.find(http::field::connection) != head.end())
        m_keepAlive = false;
    if (status != kNoContent && status != kNotModified)
        head.set(http::field::content_length, std::to_string(body.size()));
    m_outgoing.push_back(textOf(head) + body);
    m_outgoingBytes += m_outgoing.back().size();
    m_answerEnds = true;
    releaseRun();
    writeNext();
}

void CallerSession::beginStream(http::response_header<> head)
{
    setConnectionFields(head);
    if (head.find(http::field::connection) != head.end())
        m_keepAlive = false;
    head.set(http::field::transfer_encoding, "chunked");
    m_outgoing.push_back(textOf(head));
    m_outgoingBytes += m_outgoing.back().size();
    writeNext();
}

bool CallerSession::sendPiece(std::string_view bytes)
{
    m_outgoing.push_back(chunkOf(bytes));
    m_outgoingBytes += m_outgoing.back().size();
    writeNext();
    m_callerWaits = m_outgoingBytes > kMostOutgoing;
    return !m_callerWaits;
}

void CallerSession::endStream()
{
    m_outgoing.emplace_back("0\r\n\r\n");
    m_outgoingBytes += m_outgoing.back().size();
    m_answerEnds = true;
    releaseRun();
    writeNext();
}

void CallerSession::cut()
{
    releaseRun();
    close();
}

void CallerSession::releaseRun()
{
    // The run itself is the caller of this function and goes on for a moment.
    net::post(m_socket.get_executor(), [run = std::move(m_run)] {});
    m_run.reset();
}

void CallerSession::writeNext()
{
    if (m_isWriting || m_isClosed)
        return;
    if (m_outgoing.empty()) {
        if (m_answerEnds)
            answered();
        return;
    }
    m_isWriting = true;
    net::async_write(m_socket, net::buffer(m_outgoing.front()),
                     [self = shared_from_this()](const ErrorCode &ec, std::size_t) {
                         self->m_isWriting = false;
                         if (self->m_isClosed)
                             return;
                         if (ec) {
                             self->callerGone();
                             return;
                         }
                         self->m_outgoingBytes -= self->m_outgoing.front().size();
                         self->m_outgoing.pop_front();
                         if (self->m_callerWaits && self->m_outgoingBytes <= kMostOutgoing
                             && self->m_run) {
                             self->m_callerWaits = false;
                             self->m_run->callerReady();
                         }
                         self->writeNext();
                     });
}

void CallerSession::answered()
{
    m_answerEnds = false;
    m_outgoing.shrink_to_fit();
    if (m_keepAlive)
        rest();
    else
        lingeringClose();
}

void CallerSession::closeWhenIdle()
{
    m_closeWhenIdle = true;
    const bool isResting = !m_run && !m_reading && m_outgoing.empty();
    // A request that has arrived already is answered first.
    if (isResting && isQuiet(m_socket))
        lingeringClose();
}

void CallerSession::lingeringClose()
{
    if (m_isClosed || m_isClosing)
        return;
    m_isClosing = true;
    ErrorCode ec; // a caller that is gone already is fine
    m_socket.shutdown(tcp::socket::shutdown_send, ec);
    if (ec) {
        close();
        return;
    }
    setTimer(kLinger, &CallerSession::close);
    discardRest();
}

void CallerSession::discardRest()
{
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode &ec) {
        if (ec || self->m_isClosed)
            return;
        std::array<char, 4'096> bytes{};
        const auto n
            = ::recv(self->m_socket.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT);
        const bool isMore = n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
        if (isMore)
            self->discardRest();
        else
            self->close();
    });
}

void CallerSession::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_timer.cancel();
    // A run writes to this session as long as nobody tells it otherwise.
    if (const auto run = std::exchange(m_run, nullptr))
        run->callerLeft();
    ErrorCode ec; // a socket that is closed already is fine
    m_socket.close(ec);
    // Not at once: callers of this function may still use the session.
    net::post(m_socket.get_executor(), [self = shared_from_this()] { self->m_ended(self.get()); });
}

} // namespace fordwood::node
