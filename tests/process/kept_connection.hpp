// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_KEPT_CONNECTION_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_KEPT_CONNECTION_HPP_INCLUDED

#include <fcntl.h>
#include <poll.h>

#include <limits>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "process/http.hpp"

namespace fordwood::process {

// A connection that a caller keeps from one request to the next, without sending anything anew by
// itself. The next request may be sent before the answer to the last one has been read.
class KeptConnection
{
public:
    KeptConnection() : m_socket(m_context) { }

    // Connects to the port 8080 of the host. Returns false if that fails.
    bool connect(const std::string &host)
    {
        boost::system::error_code ec;
        m_socket.open(boost::asio::ip::tcp::v4(), ec);
        // A node that is started meanwhile would inherit the socket, which then stays open as this
        // caller closes it.
        if (!ec)
            fcntl(m_socket.native_handle(), F_SETFD, FD_CLOEXEC);
        if (!ec)
            m_socket.connect({boost::asio::ip::make_address(host), 8080}, ec);
        if (!ec)
            m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
        return !ec;
    }

    // Returns false if the connection has ended.
    bool send(const std::string &bytes)
    {
        boost::system::error_code ec;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ec);
        return !ec;
    }

    // Closes the sending side of the connection, as a caller may that has no more requests. The
    // answer can still be read.
    void endSending()
    {
        boost::system::error_code ec; // fails if the connection has ended
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    }

    // Closes the connection, as a caller does that no longer wants its answer.
    void close()
    {
        boost::system::error_code ec; // closing a closed connection is harmless
        m_socket.close(ec);
    }

    // Waits for the interim response that asks for the body. Returns false if the connection ends,
    // or another answer comes, which read() then returns.
    bool awaitContinue()
    {
        if (!readHead() || m_parser->get().result() != boost::beast::http::status::continue_)
            return false;
        m_parser.reset();
        return true;
    }

    // Waits until the head of the next answer has arrived, and leaves the body unread. Returns
    // whether it allows another request on this connection, or nothing if the connection has ended.
    std::optional<bool> readHead()
    {
        namespace http = boost::beast::http;
        boost::system::error_code ec;
        m_parser.emplace();
        m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        http::read_header(m_socket, m_buffer, *m_parser, ec);
        if (!m_parser->is_header_done())
            return std::nullopt;
        return m_parser->keep_alive();
    }

    // Waits for the next answer until it is complete or the connection ends.
    HttpAnswer read()
    {
        namespace http = boost::beast::http;
        HttpAnswer answer;
        boost::system::error_code ec;
        if (!m_parser && !readHead())
            return answer;
        if (!m_parser->is_done())
            http::read(m_socket, m_buffer, *m_parser, ec);
        answer.isComplete = m_parser->is_done();
        m_isKept = answer.isComplete && m_parser->keep_alive();
        auto message = m_parser->release();
        m_parser.reset();
        answer.status = static_cast<int>(message.result_int());
        answer.body = std::move(message.body());
        return answer;
    }

    // Whether the node has closed the idle connection, or sent something that was not asked for.
    bool hasEnded()
    {
        pollfd waiting{m_socket.native_handle(), POLLIN, 0};
        return poll(&waiting, 1, 0) != 0;
    }

    // The port of this side.
    unsigned short port() const
    {
        boost::system::error_code ec; // fails if the connection has ended
        return m_socket.local_endpoint(ec).port();
    }

    // Whether the last answer allows another request on this connection.
    bool isKept() const { return m_isKept; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser; // of an answer whose head alone has been read
    bool m_isKept = true;
};

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_KEPT_CONNECTION_HPP_INCLUDED
