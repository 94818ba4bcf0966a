// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_HTTP_CHANNEL_HPP_INCLUDED
#define FORDWOOD_NODE_HTTP_CHANNEL_HPP_INCLUDED

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "node/net.hpp"
#include "node/proxy_protocol.hpp"
#include "node/timeout_timer.hpp"

namespace fordwood::node {

namespace http = boost::beast::http;

// What told the end of an answer.
enum class AnswerEnd {
    Framing, // its length or its last chunk, or it has no body by its nature
    Connection, // the end of the connection, which a crash of the upstream causes as well
};

// Receives an answer as a channel reads it. The calls come in the order onHead(), onBody() any
// number of times, onAnswerEnd(). onChannelFailure() may replace any of them, and is then the last
// call.
class AnswerHandler
{
public:
    virtual ~AnswerHandler() = default;

    virtual void onHead(const http::response_header<> &head) = 0;

    // Returns false to pause reading until HttpChannel::resumeReading() is called.
    virtual bool onBody(std::string_view bytes) = 0;

    // All that comes of the answer has arrived. Whether an answer that ended with its connection is
    // complete is for the handler to decide.
    virtual void onAnswerEnd(AnswerEnd end) = 0;

    virtual void onChannelFailure(const ErrorCode &cause) = 0;
};

// One HTTP/1.1 connection to an upstream, a peer or the platform. Runs one exchange at a time and
// never repeats a request. An idle channel holds no buffer. Used on the thread of its io_context.
class HttpChannel : public std::enable_shared_from_this<HttpChannel>
{
public:
    explicit HttpChannel(net::io_context &context);

    struct Options
    {
        Duration connectTimeout{0};
        Duration unacknowledgedTimeout{0}; // see enableDeadPeerDetection()
        std::optional<std::size_t> socketBuffer; // bytes; see limitSocketBuffers()
    };

    // Connects and passes the result to `onConnected`.
    void connect(const tcp::endpoint &endpoint, const Options &options,
                 const std::function<void(const ErrorCode &)> &onConnected);

    // A peer that connects to an upstream on this node's behalf; see ProxyServer.
    struct Proxy
    {
        tcp::endpoint peer;
        std::string node; // name of this node
        std::string upstream; // instance id
        std::shared_ptr<void> use; // released when the channel is closed
    };

    // Connects to an upstream through a peer. The channel carries one exchange. An answer must
    // state its length or be chunked: a peer that ends could not be told from the end of another
    // answer.
    void connectThrough(Proxy proxy, const Options &options,
                        const std::function<void(ProxyResult)> &onConnected);

    // Sends a request and reads its answer. The handler must outlive the exchange, or close() must
    // be called before.
    void exchange(http::request_header<> head, std::shared_ptr<const std::string> body,
                  AnswerHandler &handler);

    void resumeReading();

    // Closes the channel. The handler gets no further calls.
    void close();

    // Whether the channel can carry another request, after a complete answer.
    bool isReusable();

    // Whether the channel has not carried a request yet.
    bool isNew() const { return m_isNew; }

private:
    void requestProxy(Duration timeout, const std::function<void(ProxyResult)> &onConnected);
    void closeAfter(Duration timeout);
    void writeRequest();
    void readHead();
    void parseHead();
    void readMoreOfHead();
    void handleHead();
    void readBody();
    void handleBody(const ErrorCode &ec);
    void completeExchange();
    bool checkConnectionEnd();
    void fail(const ErrorCode &ec);

    static constexpr std::size_t kChunkBytes = 8'192;

    // What has arrived and is not parsed yet. Lines between chunks and trailers are held until they
    // are complete, and are no longer than a head.
    static constexpr std::size_t kMaxUnparsedBytes = 65'536;

    // The state of one exchange; an idle channel has none.
    struct Exchange
    {
        http::request<http::span_body<const char>> request;
        std::optional<http::request_serializer<http::span_body<const char>>> serializer;
        std::shared_ptr<const std::string> body;
        boost::beast::flat_buffer buffer{kMaxUnparsedBytes};
        std::optional<http::response_parser<http::buffer_body>> parser; // of one head and its body
        std::array<char, kChunkBytes> chunk{};
        AnswerHandler *handler = nullptr;
        bool isHeadRequest = false;
        std::size_t interimAnswers = 0; // that have arrived before the answer
        std::optional<ErrorCode> writeResult; // nothing while the request is being written
        bool isEndPending = false; // the connection has ended, and the write's result decides
        bool isReadingPaused = false; // onBody() has returned false
    };

    tcp::socket m_socket;
    TimeoutTimer m_connectTimer; // runs while connecting
    std::shared_ptr<Exchange> m_exchange;
    bool m_isReusable = true;
    bool m_isNew = true;
    std::optional<Proxy> m_proxy; // while connected through a peer
    bool m_isProxied = false;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_HTTP_CHANNEL_HPP_INCLUDED
