// SPDX-License-Identifier: MIT
#include "node/internal_server.hpp"

#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "node/refusal.hpp"
#include "node/timeout_timer.hpp"

namespace fordwood::node {

namespace http = boost::beast::http;

namespace {

// A connection without requests is closed after this time; the platform sends one every second.
constexpr Duration kMaxIdleTime = std::chrono::seconds(15);
constexpr Duration kUnacknowledgedTimeout = std::chrono::seconds(2);
constexpr std::uint32_t kMaxHeadBytes = 4'096;
// What is read ahead of what is parsed: a head, or lines between chunks and trailers.
constexpr std::size_t kMaxUnparsedBytes = 2 * kMaxHeadBytes;

} // namespace

// One connection, which carries one request and reply after the other.
class InternalServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(tcp::socket socket, const Answer &answer)
        : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_answer(answer)
    { }

    void start()
    {
        enableDeadPeerDetection(m_socket, kUnacknowledgedTimeout);
        read();
    }

private:
    void read()
    {
        m_timer.start(kMaxIdleTime, [self = shared_from_this()] { self->close(); });
        m_parser.emplace();
        m_parser->header_limit(kMaxHeadBytes);
        m_parser->body_limit(std::uint64_t{0});
        http::async_read(m_socket, m_buffer, *m_parser,
                         [self = shared_from_this()](const ErrorCode &ec, std::size_t) {
                             if (ec)
                                 self->close();
                             else
                                 self->reply();
                         });
    }

    void reply()
    {
        const auto &request = m_parser->get();
        const auto target = request.target();
        const ServedReply made = request.method() == http::verb::get
                                     ? m_answer({target.data(), target.size()})
                                     : makeReply(405);
        m_reply = {};
        m_reply.result(made.status);
        m_reply.keep_alive(request.keep_alive());
        if (made.retryAfter.count() > 0)
            m_reply.set(http::field::retry_after, secondsText(made.retryAfter));
        m_body = made.body;
        m_reply.body() = boost::beast::span<const char>(m_body->data(), m_body->size());
        m_reply.prepare_payload();
        http::async_write(m_socket, m_reply,
                          [self = shared_from_this()](const ErrorCode &ec, std::size_t) {
                              self->m_body.reset(); // an idle connection holds no reply
                              if (ec || !self->m_reply.keep_alive())
                                  self->close();
                              else
                                  self->read();
                          });
    }

    void close()
    {
        m_timer.cancel();
        ErrorCode ec; // closing a closed socket is harmless
        m_socket.close(ec);
    }

    tcp::socket m_socket;
    TimeoutTimer m_timer;
    const Answer &m_answer;
    boost::beast::flat_buffer m_buffer{kMaxUnparsedBytes};
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::span_body<const char>> m_reply;
    std::shared_ptr<const std::string> m_body; // of the reply that is being sent
};

ServedReply makeReply(unsigned status, std::string body)
{
    return {status, std::make_shared<const std::string>(std::move(body))};
}

InternalServer::InternalServer(net::io_context &context, Answer answer)
    : m_answer(std::move(answer)), m_acceptor(context, [this](tcp::socket socket) {
          std::make_shared<Connection>(std::move(socket), m_answer)->start();
      })
{ }

bool InternalServer::listen(const std::string &address, ErrorCode &ec)
{
    return m_acceptor.listen(address, ec);
}

} // namespace fordwood::node
