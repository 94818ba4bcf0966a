// SPDX-License-Identifier: MIT
#include "node/proxy_server.hpp"

#include <array>
#include <vector>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "adapters/observe/event_log.hpp"
#include "node/channel_pool.hpp"
#include "node/proxy_protocol.hpp"
#include "node/timeout_timer.hpp"

namespace fordwood::node {

namespace http = boost::beast::http;

namespace {

using adapters::Event;
using adapters::logEvent;

// A peer sends its request as soon as it has connected.
constexpr Duration kRequestTimeout = std::chrono::seconds(1);

// A peer that does not acknowledge sent bytes for this long is considered unreachable.
constexpr Duration kUnacknowledgedTimeout = std::chrono::seconds(2);

// Bounds the memory and descriptors that cut-off peers use at this node.
constexpr std::size_t kMaxConnections = 256;
constexpr std::size_t kMaxAccepted = 2 * kMaxConnections; // with those that have not asked yet

constexpr std::size_t kBufferBytes = BufferBudget::kAlwaysAllowed / 2; // for each direction

} // namespace

// One connection of a peer, and the one to the upstream. Its handlers keep it alive.
class ProxyServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(tcp::socket socket, std::shared_ptr<Shared> shared)
        : m_peer(std::move(socket)), m_upstream(m_peer.get_executor()),
          m_timer(m_peer.get_executor()), m_shared(std::move(shared)), m_held(m_shared->buffers)
    {
        m_shared->open.insert(this);
    }

    ~Connection()
    {
        m_shared->open.erase(this);
        m_shared->asked -= m_hasAsked ? 1 : 0;
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void start()
    {
        enableDeadPeerDetection(m_peer, kUnacknowledgedTimeout);
        limitSocketBuffers(m_peer, m_shared->buffers.limits().perChannel);
        startTimer(kRequestTimeout);
        m_parser.header_limit(kMaxProxyHeadBytes);
        http::async_read_header(m_peer, m_headBuffer, m_parser,
                                [self = shared_from_this()](const ErrorCode &ec, std::size_t) {
                                    if (ec)
                                        self->close();
                                    else
                                        self->handleRequest();
                                });
    }

    void close()
    {
        if (m_isClosed)
            return;
        m_isClosed = true;
        m_timer.cancel();
        ErrorCode ec; // closing a closed socket is harmless
        m_peer.close(ec);
        m_upstream.close(ec);
        if (m_isCopying)
            logEvent(Event::ConnectionProxied,
                     {{"peer", m_peerName},
                      {"upstream", m_record.instanceId},
                      {"bytes_sent", m_fromPeer.bytes},
                      {"bytes_received", m_fromUpstream.bytes},
                      {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                                 m_shared->clock.now() - m_startedAt)
                                 .count()}});
    }

private:
    // One direction of the connection.
    struct Flow
    {
        tcp::socket &from;
        tcp::socket &to;
        std::vector<char> buf;
        std::size_t bytes = 0; // so far
    };

    void startTimer(Duration timeout)
    {
        m_timer.start(timeout, [self = shared_from_this()] { self->close(); });
    }

    void handleRequest()
    {
        const auto &request = m_parser.get();
        const bool isValid = request.method() == http::verb::get && request.target() == kProxyTarget
                             && boost::beast::iequals(request[http::field::upgrade], kProxyUpgrade)
                             && m_headBuffer.size() == 0;
        if (!isValid) {
            reply(http::status::bad_request);
            return;
        }
        m_peerName = std::string(request[kProxyNodeField]);
        const auto found
            = m_shared->host.upstreamForPeer(std::string(request[kProxyUpstreamField]));
        m_held.resize(2 * kBufferBytes);
        if (!found || m_shared->asked >= kMaxConnections) {
            m_shared->metrics.count("fordwood_proxy_declined_total");
            reply(http::status::service_unavailable);
            return;
        }
        m_record = *found;
        m_hasAsked = true;
        m_shared->asked += 1;
        connect();
    }

    void connect()
    {
        const auto endpoint = parseEndpoint<tcp>(m_record.address);
        if (!endpoint) {
            reply(http::status::bad_gateway);
            return;
        }
        ErrorCode ec;
        m_upstream.open(endpoint->protocol(), ec);
        if (!ec) {
            enableDeadPeerDetection(m_upstream, ChannelPool::kUnacknowledgedTimeout);
            limitSocketBuffers(m_upstream, m_shared->buffers.limits().perChannel);
        }
        m_timer.start(ChannelPool::kConnectTimeout, [self = shared_from_this()] {
            ErrorCode ignored; // closing a closed socket is harmless
            self->m_upstream.close(ignored);
        });
        m_upstream.async_connect(
            *endpoint, [self = shared_from_this()](const ErrorCode &connectEc) {
                self->m_timer.cancel();
                const bool isOpen = self->m_upstream.is_open();
                self->onConnected(isOpen ? connectEc : ErrorCode(net::error::timed_out));
            });
    }

    void onConnected(const ErrorCode &ec)
    {
        if (ec) {
            m_shared->host.connectFailed(m_record, ec);
            reply(http::status::bad_gateway);
            return;
        }
        m_shared->host.connected(m_record);
        reply(http::status::switching_protocols);
    }

    void reply(http::status status)
    {
        const bool isSwitching = status == http::status::switching_protocols;
        m_reply.result(status);
        m_reply.set(http::field::connection, isSwitching ? "Upgrade" : "close");
        if (isSwitching)
            m_reply.set(http::field::upgrade, kProxyUpgrade);
        else
            m_reply.content_length(0);
        http::async_write(
            m_peer, m_reply,
            [self = shared_from_this(), isSwitching](const ErrorCode &ec, std::size_t) {
                if (ec || !isSwitching)
                    self->close();
                else
                    self->beginCopying();
            });
    }

    void beginCopying()
    {
        m_startedAt = m_shared->clock.now();
        m_isCopying = true;
        m_fromPeer.buf.resize(kBufferBytes);
        m_fromUpstream.buf.resize(kBufferBytes);
        copy(m_fromPeer);
        copy(m_fromUpstream);
    }

    void copy(Flow &flow)
    {
        flow.from.async_read_some(net::buffer(flow.buf), [self = shared_from_this(), &flow](
                                                             const ErrorCode &ec, std::size_t n) {
            if (ec)
                self->handleEnd(flow, ec);
            else
                self->forward(flow, n);
        });
    }

    void forward(Flow &flow, std::size_t n)
    {
        flow.bytes += n;
        net::async_write(flow.to, net::buffer(flow.buf.data(), n),
                         [self = shared_from_this(), &flow](const ErrorCode &ec, std::size_t) {
                             // An upstream that has answered early may read no more. What it sends
                             // decides, and the peer is still watched for its disconnect.
                             if (ec && &flow == &self->m_fromUpstream)
                                 self->close();
                             else
                                 self->copy(flow);
                         });
    }

    void handleEnd(const Flow &flow, const ErrorCode &ec)
    {
        if (m_isClosed)
            return;
        if (&flow == &m_fromPeer) {
            close();
            return;
        }
        if (ec != net::error::eof) {
            abortPeer();
            return;
        }
        // The peer closes the connection after the last bytes.
        ErrorCode ignored;
        m_peer.shutdown(tcp::socket::shutdown_send, ignored);
        startTimer(kUnacknowledgedTimeout);
    }

    // Resets the peer's connection: a plain close would look like a complete answer.
    void abortPeer()
    {
        ErrorCode ec; // a connection that is already closed needs no reset
        m_peer.set_option(net::socket_base::linger(true, 0), ec);
        close();
    }

    tcp::socket m_peer;
    tcp::socket m_upstream;
    TimeoutTimer m_timer;
    std::shared_ptr<Shared> m_shared;
    BufferBudget::Buffer m_held;
    boost::beast::flat_buffer m_headBuffer{kMaxProxyHeadBytes};
    http::request_parser<http::empty_body> m_parser;
    http::response<http::empty_body> m_reply;
    std::string m_peerName;
    UpstreamRecord m_record;
    Flow m_fromPeer{m_peer, m_upstream, {}, 0};
    Flow m_fromUpstream{m_upstream, m_peer, {}, 0};
    TimePoint m_startedAt{};
    bool m_hasAsked = false; // for an upstream
    bool m_isCopying = false;
    bool m_isClosed = false;
};

ProxyServer::ProxyServer(net::io_context &context, const Clock &clock, ProxyHost &host,
                         BufferBudget &buffers, adapters::Metrics &metrics)
    : m_shared(std::make_shared<Shared>(Shared{clock, host, buffers, metrics, {}, 0})),
      m_acceptor(context, [this](tcp::socket socket) {
          if (m_shared->open.size() < kMaxAccepted)
              std::make_shared<Connection>(std::move(socket), m_shared)->start();
      })
{ }

bool ProxyServer::listen(const std::string &address, ErrorCode &ec)
{
    return m_acceptor.listen(address, ec);
}

void ProxyServer::close()
{
    m_acceptor.close();
    for (Connection *it : m_shared->open) // their pending handlers keep them alive
        it->close();
}

} // namespace fordwood::node
