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
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "node/net.hpp"

namespace fordwood::node {

namespace http = boost::beast::http;

// Takes what a channel reads. Calls come in the order head, body pieces, end; failed() may come in
// place of any of them and is then the last.
class AnswerHandler
{
public:
    virtual ~AnswerHandler() = default;

    virtual void onHead(const http::response_header<> &head) = 0;

    // False: the reader has enough for now, and will call resumeReading().
    virtual bool onBody(std::string_view bytes) = 0;

    // The answer is whole.
    virtual void onAnswerEnd() = 0;

    virtual void onChannelFailure(const ErrorCode &cause) = 0;
};

// One HTTP/1.1 connection to an upstream, a peer or the platform: one exchange at a time, and never
// a request sent twice. Resting channels hold no buffer. Used on the thread of its io_context.
class HttpChannel : public std::enable_shared_from_this<HttpChannel>
{
public:
    explicit HttpChannel(net::io_context &context);

    // Connects within `patience`; `done` is told whether it came up.
    void connect(const tcp::endpoint &endpoint, Duration timeout, Duration unacknowledgedTimeout,
                 const std::function<void(const ErrorCode &)> &onConnected);

    // Sends a request and reads its answer. The reader must outlive the exchange or cancel it.
    void exchange(http::request_header<> head, std::shared_ptr<const std::string> body,
                  AnswerHandler &handler);

    void resumeReading();

    // Closes the channel; its reader hears nothing more.
    void close();

    // Whether the channel can take another request after a whole answer.
    bool isReusable();

private:
    void writeRequest();
    void readHead();
    void readBody();
    void handleBody(const ErrorCode &ec);
    void completeExchange();
    void fail(const ErrorCode &ec);

    static constexpr std::size_t kChunkBytes = 8'192;

    // What one exchange needs; a resting channel has none.
    struct Exchange
    {
        http::request<http::span_body<const char>> request;
        std::optional<http::request_serializer<http::span_body<const char>>> serializer;
        std::shared_ptr<const std::string> body;
        boost::beast::flat_buffer buffer;
        http::response_parser<http::buffer_body> parser;
        std::array<char, kChunkBytes> chunk{};
        AnswerHandler *handler = nullptr;
        bool isWritten = false;
        bool isReadingPaused = false; // the reader has enough
    };

    tcp::socket m_socket;
    std::unique_ptr<net::steady_timer> m_connectTimer; // only while it connects
    std::shared_ptr<Exchange> m_exchange;
    bool m_isReusable = true;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_HTTP_CHANNEL_HPP_INCLUDED
