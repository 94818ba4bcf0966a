// SPDX-License-Identifier: MIT
#include "node/internal_server.hpp"

#include <list>
#include <memory>
#include <optional>
#include <utility>

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

// Of one address. In the largest fleets, a node that starts is read from by some hundred others.
constexpr std::size_t kMaxConnections = 384;
// What is read ahead of what is parsed: a head, or lines between chunks and trailers.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{2} * kMaxHeadBytes;

} // namespace

// The open connections.
struct InternalServer::Connections
{
    std::list<Connection *> unused; // without a request so far, the oldest first
    std::list<Connection *> used; // the one whose last request is oldest first

    std::size_t size() const { return unused.size() + used.size(); }
};

// One connection, which carries one request and reply after the other.
class InternalServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(tcp::socket socket, const Answer &answer, std::shared_ptr<Connections> others)
        : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_answer(answer),
          m_connections(std::move(others)),
          m_place(m_connections->unused.insert(m_connections->unused.end(), this))
    { }
    ~Connection() { leave(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void start()
    {
        enableDeadPeerDetection(m_socket, kUnacknowledgedTimeout);
        read();
    }

    void close()
    {
        leave();
        m_timer.cancel();
        ErrorCode ec; // closing a closed socket is harmless
        m_socket.close(ec);
    }

private:
    void leave()
    {
        if (!std::exchange(m_isListed, false))
            return;
        (m_isUsed ? m_connections->used : m_connections->unused).erase(m_place);
    }

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
        if (m_isListed) {
            auto &from = m_isUsed ? m_connections->used : m_connections->unused;
            m_connections->used.splice(m_connections->used.end(), from, m_place);
            m_isUsed = true;
        }
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

    tcp::socket m_socket;
    TimeoutTimer m_timer;
    const Answer &m_answer;
    boost::beast::flat_buffer m_buffer{kMaxUnparsedBytes};
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::span_body<const char>> m_reply;
    std::shared_ptr<const std::string> m_body; // of the reply that is being sent
    const std::shared_ptr<Connections> m_connections;
    const std::list<Connection *>::iterator m_place;
    bool m_isListed = true;
    bool m_isUsed = false; // has had a request
};

ServedReply makeReply(unsigned status, std::string body)
{
    return {status, std::make_shared<const std::string>(std::move(body))};
}

InternalServer::InternalServer(net::io_context &context, Answer answer)
    : m_answer(std::move(answer)), m_connections(std::make_shared<Connections>()),
      m_acceptor(context, [this](tcp::socket socket) { onAccepted(std::move(socket)); })
{ }

// The platform and peers send requests all the time; a connection that does not makes room.
void InternalServer::onAccepted(tcp::socket socket)
{
    if (m_connections->size() >= kMaxConnections) {
        auto &unused = m_connections->unused;
        (unused.empty() ? m_connections->used : unused).front()->close();
    }
    std::make_shared<Connection>(std::move(socket), m_answer, m_connections)->start();
}

bool InternalServer::listen(const std::string &address, ErrorCode &ec)
{
    return m_acceptor.listen(address, ec);
}

} // namespace fordwood::node
