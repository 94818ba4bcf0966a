// SPDX-License-Identifier: MIT
#include "node/http_channel.hpp"

#include <limits>

#include <boost/asio/error.hpp>

#include "adapters/http/answer_head.hpp"

namespace fordwood::node {

namespace {

// Heads of answers are small; a longer one does not come from an upstream.
constexpr std::uint32_t kMaxHeadBytes = 32'768;

// Interim answers (1xx) that may come before the answer.
constexpr std::size_t kMaxInterimAnswers = 8;

// A peer allows an upstream as much time to connect as this node does; its reply takes a little
// longer.
constexpr Duration kProxyTimeMargin = std::chrono::milliseconds(50);

} // namespace

HttpChannel::HttpChannel(net::io_context &context) : m_socket(context), m_connectTimer(context) { }

void HttpChannel::connect(const tcp::endpoint &endpoint, const Options &options,
                          const std::function<void(const ErrorCode &)> &onConnected)
{
    ErrorCode ec;
    m_socket.open(endpoint.protocol(), ec);
    if (!ec)
        enableDeadPeerDetection(m_socket, options.unacknowledgedTimeout);
    if (!ec && options.socketBuffer)
        limitSocketBuffers(m_socket, *options.socketBuffer);
    closeAfter(options.connectTimeout);
    m_socket.async_connect(endpoint,
                           [self = shared_from_this(), onConnected](const ErrorCode &connectEc) {
                               self->m_connectTimer.cancel();
                               const bool isOpen = self->m_socket.is_open();
                               onConnected(isOpen ? connectEc : ErrorCode(net::error::timed_out));
                           });
}

void HttpChannel::closeAfter(Duration timeout)
{
    m_connectTimer.start(timeout, [self = shared_from_this()] { self->m_socket.close(); });
}

void HttpChannel::connectThrough(Proxy proxy, const Options &options,
                                 const std::function<void(ProxyResult)> &onConnected)
{
    m_isProxied = true;
    m_proxy = std::move(proxy);
    connect(m_proxy->peer, options,
            [self = shared_from_this(), onConnected,
             timeout = options.connectTimeout](const ErrorCode &ec) {
                if (ec || !self->m_proxy)
                    onConnected(ProxyResult::PeerFailed);
                else
                    self->requestProxy(timeout + kProxyTimeMargin, onConnected);
            });
}

// The state of a request to a proxy, shared by its handlers.
struct ProxyExchange
{
    http::request<http::empty_body> request;
    boost::beast::flat_buffer buffer{kMaxProxyHeadBytes};
    http::response_parser<http::empty_body> parser;
};

void HttpChannel::requestProxy(Duration timeout,
                               const std::function<void(ProxyResult)> &onConnected)
{
    closeAfter(timeout);
    const auto current = std::make_shared<ProxyExchange>();
    current->request = {http::verb::get, kProxyTarget, 11};
    current->request.set(http::field::host, "peer");
    current->request.set(http::field::connection, "Upgrade");
    current->request.set(http::field::upgrade, kProxyUpgrade);
    current->request.set(kProxyUpstreamField, m_proxy->upstream);
    current->request.set(kProxyNodeField, m_proxy->node);
    http::async_write(m_socket, current->request,
                      [self = shared_from_this(), current](const ErrorCode &, std::size_t) {
                          // What the reading side finds decides.
                      });
    http::async_read_header(
        m_socket, current->buffer, current->parser,
        [self = shared_from_this(), current, onConnected](const ErrorCode &ec, std::size_t) {
            self->m_connectTimer.cancel();
            const http::status status = current->parser.get().result();
            if (!ec && status == http::status::bad_gateway)
                onConnected(ProxyResult::UpstreamUnreachable);
            else if (ec || status != http::status::switching_protocols || current->buffer.size() > 0
                     || !self->m_proxy)
                onConnected(ProxyResult::PeerFailed);
            else
                onConnected(ProxyResult::Connected);
        });
}

void HttpChannel::exchange(http::request_header<> head, std::shared_ptr<const std::string> body,
                           AnswerHandler &handler)
{
    m_exchange = std::make_shared<Exchange>();
    m_isReusable = false;
    m_isNew = false;
    Exchange &current = *m_exchange;
    current.isHeadRequest = head.method() == http::verb::head;
    current.request.base() = std::move(head);
    current.body = std::move(body);
    current.request.body()
        = boost::beast::span<const char>(current.body->data(), current.body->size());
    // An empty body has a Content-Length too, if the method usually has a body.
    if (!current.body->empty() || current.request.method() != http::verb::get)
        current.request.content_length(current.body->size());
    current.serializer.emplace(current.request);
    current.handler = &handler;
    writeRequest();
    readHead();
}

void HttpChannel::writeRequest()
{
    http::async_write(
        m_socket, *m_exchange->serializer,
        [self = shared_from_this(), current = m_exchange](const ErrorCode &ec, std::size_t) {
            if (current != self->m_exchange)
                return;
            // A failure alone does not end the exchange: an answer may come although the
            // request was not read whole.
            current->writeResult = ec;
            if (current->isEndPending)
                self->completeExchange();
        });
}

void HttpChannel::readHead()
{
    auto &parser = m_exchange->parser.emplace();
    parser.header_limit(kMaxHeadBytes);
    // Boost 1.74 treats boost::none as a limit of zero.
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    if (m_exchange->isHeadRequest)
        parser.skip(true);
    parseHead();
}

// Parses the head once all of it has arrived. Boost.Beast's own reading of heads would not show
// their text.
void HttpChannel::parseHead()
{
    Exchange &current = *m_exchange;
    if (current.buffer.size() == 0) {
        readMoreOfHead();
        return;
    }
    ErrorCode ec;
    const std::size_t n = current.parser->put(current.buffer.data(), ec);
    if (ec == http::error::need_more) {
        readMoreOfHead();
        return;
    }
    if (!ec) {
        const std::string_view text(static_cast<const char *>(current.buffer.data().data()), n);
        const bool hasBody = !current.parser->is_done();
        ec = adapters::checkAnswerHead(text, current.parser->get(), hasBody);
    }
    if (ec) {
        fail(ec);
        return;
    }
    current.buffer.consume(n);
    handleHead();
}

void HttpChannel::readMoreOfHead()
{
    boost::beast::flat_buffer &buffer = m_exchange->buffer;
    m_socket.async_read_some(
        buffer.prepare(boost::beast::read_size(buffer, kMaxUnparsedBytes)),
        [self = shared_from_this(), current = m_exchange](const ErrorCode &ec, std::size_t n) {
            if (current != self->m_exchange)
                return;
            current->buffer.commit(n);
            if (!ec)
                self->parseHead();
            else if (ec == net::error::eof && current->parser->got_some())
                self->fail(http::error::partial_message);
            else if (ec == net::error::eof)
                self->fail(http::error::end_of_stream);
            else
                self->fail(ec);
        });
}

void HttpChannel::handleHead()
{
    const std::shared_ptr<Exchange> current = m_exchange;
    const auto &head = current->parser->get().base();
    if (http::to_status_class(head.result_int()) == http::status_class::informational) {
        current->interimAnswers += 1;
        // This client asks for no other protocol.
        if (head.result() == http::status::switching_protocols
            || current->interimAnswers > kMaxInterimAnswers)
            fail(http::error::bad_status);
        else
            readHead();
        return;
    }
    current->handler->onHead(head);
    if (current == m_exchange)
        readBody();
}

void HttpChannel::readBody()
{
    Exchange &current = *m_exchange;
    if (current.parser->is_done()) {
        completeExchange();
        return;
    }
    current.parser->get().body().data = current.chunk.data();
    current.parser->get().body().size = current.chunk.size();
    current.parser->get().body().more = true;
    http::async_read_some(
        m_socket, current.buffer, *current.parser,
        [self = shared_from_this(), expected = m_exchange](const ErrorCode &ec, std::size_t) {
            if (expected == self->m_exchange)
                self->handleBody(ec);
        });
}

void HttpChannel::handleBody(const ErrorCode &ec)
{
    const std::shared_ptr<Exchange> current = m_exchange;
    if (ec && ec != http::error::need_buffer) {
        fail(ec);
        return;
    }
    const std::size_t n = current->chunk.size() - current->parser->get().body().size;
    if (n > 0) {
        const bool wantsMore = current->handler->onBody({current->chunk.data(), n});
        if (current != m_exchange)
            return;
        if (!wantsMore) {
            current->isReadingPaused = true;
            return;
        }
    }
    readBody();
}

void HttpChannel::resumeReading()
{
    if (!m_exchange || !m_exchange->isReadingPaused)
        return;
    m_exchange->isReadingPaused = false;
    readBody();
}

void HttpChannel::completeExchange()
{
    const AnswerEnd end
        = m_exchange->parser->need_eof() ? AnswerEnd::Connection : AnswerEnd::Framing;
    if (end == AnswerEnd::Connection && !checkConnectionEnd())
        return;
    const std::shared_ptr<Exchange> current = std::move(m_exchange);
    m_exchange.reset();
    // Bytes after the answer belong to no request, so the channel cannot be reused.
    const bool isWritten = current->writeResult && !current->writeResult->failed();
    m_isReusable
        = isWritten && current->parser->keep_alive() && current->buffer.size() == 0 && !m_isProxied;
    if (!m_isReusable)
        close();
    current->handler->onAnswerEnd(end);
}

// Checks that the connection ended because the upstream closed its sending side. Returns false if
// not, and the exchange has failed, or if the write has to end first. The kernel reports a failure
// of a connection once: if the write gets it, reading finds no more than the end of the input.
bool HttpChannel::checkConnectionEnd()
{
    if (m_isProxied) {
        fail(http::error::partial_message);
        return false;
    }
    Exchange &current = *m_exchange;
    if (!current.writeResult) {
        current.isEndPending = hasFailed(m_socket); // which ends the write at once
        return !current.isEndPending;
    }
    // The write fails with EPIPE if the connection is reset after the upstream has closed its
    // sending side.
    const ErrorCode ec = *current.writeResult;
    const bool isInOrder = !ec.failed() || ec == net::error::broken_pipe;
    if (!isInOrder)
        fail(ec);
    return isInOrder;
}

void HttpChannel::fail(const ErrorCode &ec)
{
    const std::shared_ptr<Exchange> current = std::move(m_exchange);
    m_exchange.reset();
    close();
    current->handler->onChannelFailure(ec);
}

void HttpChannel::close()
{
    m_exchange.reset();
    m_proxy.reset();
    m_isReusable = false;
    m_connectTimer.cancel();
    ErrorCode ec; // closing a closed socket is harmless
    m_socket.close(ec);
}

bool HttpChannel::isReusable()
{
    return m_isReusable && isOpenAndIdle(m_socket);
}

} // namespace fordwood::node
