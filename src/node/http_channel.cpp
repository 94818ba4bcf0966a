// SPDX-License-Identifier: MIT
#include "node/http_channel.hpp"

#include <limits>

#include <boost/asio/error.hpp>

namespace fordwood::node {

namespace {

// Heads of answers are small; a longer one is no answer of an upstream.
constexpr std::uint32_t kMostHeadBytes = 32'768;

} // namespace

HttpChannel::HttpChannel(net::io_context &context) : m_socket(context) { }

void HttpChannel::connect(const tcp::endpoint &endpoint, Duration patience, Duration silence,
                          const std::function<void(const ErrorCode &)> &done)
{
    ErrorCode ec;
    m_socket.open(endpoint.protocol(), ec);
    if (!ec)
        watchForSilence(m_socket, silence);
    m_connectTimer = std::make_unique<net::steady_timer>(m_socket.get_executor(), patience);
    m_connectTimer->async_wait([self = shared_from_this()](const ErrorCode &timerEc) {
        if (!timerEc)
            self->m_socket.close();
    });
    m_socket.async_connect(endpoint, [self = shared_from_this(), done](const ErrorCode &connectEc) {
        if (self->m_connectTimer)
            self->m_connectTimer->cancel();
        self->m_connectTimer.reset();
        const bool isOpen = self->m_socket.is_open();
        done(connectEc || isOpen ? connectEc : ErrorCode(net::error::timed_out));
    });
}

void HttpChannel::exchange(http::request_header<> head, std::shared_ptr<const std::string> body,
                           AnswerReader &reader)
{
    m_exchange = std::make_shared<Exchange>();
    m_reusable = false;
    Exchange &now = *m_exchange;
    const bool isHead = head.method() == http::verb::head;
    now.request.base() = std::move(head);
    now.body = std::move(body);
    now.request.body() = boost::beast::span<const char>(now.body->data(), now.body->size());
    // A length, also of an empty body where the method usually has one.
    if (!now.body->empty() || now.request.method() != http::verb::get)
        now.request.content_length(now.body->size());
    now.serializer.emplace(now.request);
    now.parser.header_limit(kMostHeadBytes);
    // Boost 1.74 takes "no limit" for a limit of zero.
    now.parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    if (isHead)
        now.parser.skip(true);
    now.reader = &reader;
    writeRequest();
    readHead();
}

void HttpChannel::writeRequest()
{
    http::async_write(
        m_socket, *m_exchange->serializer,
        [self = shared_from_this(), now = m_exchange](const ErrorCode &ec, std::size_t) {
            if (now != self->m_exchange)
                return;
            // An answer may come although the request was not read whole; what the
            // reading side finds decides.
            if (!ec)
                now->isWritten = true;
        });
}

void HttpChannel::readHead()
{
    http::async_read_header(
        m_socket, m_exchange->buffer, m_exchange->parser,
        [self = shared_from_this(), now = m_exchange](const ErrorCode &ec, std::size_t) {
            if (now != self->m_exchange)
                return;
            if (ec) {
                self->fail(ec);
                return;
            }
            now->reader->headRead(now->parser.get().base());
            if (now == self->m_exchange)
                self->readBody();
        });
}

void HttpChannel::readBody()
{
    Exchange &now = *m_exchange;
    if (now.parser.is_done()) {
        finish();
        return;
    }
    now.parser.get().body().data = now.piece.data();
    now.parser.get().body().size = now.piece.size();
    now.parser.get().body().more = true;
    http::async_read_some(
        m_socket, now.buffer, now.parser,
        [self = shared_from_this(), kept = m_exchange](const ErrorCode &ec, std::size_t) {
            if (kept == self->m_exchange)
                self->takeBody(ec);
        });
}

void HttpChannel::takeBody(const ErrorCode &ec)
{
    const std::shared_ptr<Exchange> now = m_exchange;
    if (ec && ec != http::error::need_buffer) {
        fail(ec);
        return;
    }
    const std::size_t n = now->piece.size() - now->parser.get().body().size;
    if (n > 0) {
        const bool goOn = now->reader->bodyRead({now->piece.data(), n});
        if (now != m_exchange)
            return;
        if (!goOn) {
            now->isPaused = true;
            return;
        }
    }
    readBody();
}

void HttpChannel::resumeReading()
{
    if (!m_exchange || !m_exchange->isPaused)
        return;
    m_exchange->isPaused = false;
    readBody();
}

void HttpChannel::finish()
{
    const std::shared_ptr<Exchange> now = std::move(m_exchange);
    m_exchange.reset();
    // Bytes behind the answer belong to no request: the channel is of no more use.
    m_reusable = now->isWritten && now->parser.keep_alive() && now->buffer.size() == 0;
    if (!m_reusable)
        close();
    now->reader->answerEnded();
}

void HttpChannel::fail(const ErrorCode &ec)
{
    const std::shared_ptr<Exchange> now = std::move(m_exchange);
    m_exchange.reset();
    close();
    now->reader->channelFailed(ec);
}

void HttpChannel::close()
{
    m_exchange.reset();
    m_reusable = false;
    if (m_connectTimer)
        m_connectTimer->cancel();
    ErrorCode ec; // a socket that is closed already is fine
    m_socket.close(ec);
}

bool HttpChannel::isReusable()
{
    return m_reusable && isQuiet(m_socket);
}

} // namespace fordwood::node
