// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_SUPPORT_ENDLESS_SERVER_HPP_INCLUDED
#define FORDWOOD_TESTS_SUPPORT_ENDLESS_SERVER_HPP_INCLUDED

#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include "node/net.hpp"

namespace fordwood::node {

// Answers each connection with `begin`, and then with `part` again and again until it is closed.
// With an empty part the connection stays open.
class EndlessServer
{
public:
    EndlessServer(net::io_context &context, std::string begin, const std::string &part)
        : m_acceptor(context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0)),
          m_begin(std::move(begin))
    {
        constexpr std::size_t kWriteBytes = 65'536;
        while (m_parts.size() < kWriteBytes && !part.empty())
            m_parts += part;
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    // Sends bytes on the connection that was accepted last, which must have begun its answer.
    void send(const std::string &bytes)
    {
        ErrorCode ec; // the other side may have closed the connection
        net::write(m_connections.back()->socket, net::buffer(bytes), ec);
    }

    std::size_t accepted() const { return m_connections.size(); }
    std::size_t bytesSent() const { return m_bytesSent; }
    std::size_t closed() const { return m_closed; }

private:
    struct Connection
    {
        explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) { }

        tcp::socket socket;
        std::array<char, 4'096> request{};
    };

    void accept()
    {
        m_acceptor.async_accept([this](const ErrorCode &ec, tcp::socket socket) {
            if (ec)
                return;
            m_connections.push_back(std::make_unique<Connection>(std::move(socket)));
            Connection &it = *m_connections.back();
            it.socket.async_read_some(
                net::buffer(it.request),
                [this, &it](const ErrorCode &, std::size_t) { write(it, m_begin); });
            accept();
        });
    }

    void write(Connection &to, const std::string &bytes)
    {
        net::async_write(to.socket, net::buffer(bytes),
                         [this, &to](const ErrorCode &ec, std::size_t n) {
                             m_bytesSent += n;
                             if (ec)
                                 m_closed += 1;
                             else if (!m_parts.empty())
                                 write(to, m_parts);
                         });
    }

    tcp::acceptor m_acceptor;
    const std::string m_begin;
    std::string m_parts;
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::size_t m_bytesSent = 0;
    std::size_t m_closed = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_TESTS_SUPPORT_ENDLESS_SERVER_HPP_INCLUDED
