// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_FAULTY_PROXY_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_FAULTY_PROXY_HPP_INCLUDED

#include <list>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace fordwood::process {

// Forwards connections from one loopback address to another, on a thread of its own, and breaks
// them as a path or a server in trouble does.
class FaultyProxy
{
public:
    enum class Mode {
        Forward,
        Reset, // all connections are reset, new ones at once
        // Connections stay open, but nothing is forwarded: also later, for those that were open or
        // opened in this mode.
        Silent,
    };

    // Both addresses are "IP:port".
    FaultyProxy(const std::string &listen, const std::string &target);
    ~FaultyProxy();
    FaultyProxy(const FaultyProxy &) = delete;
    FaultyProxy &operator=(const FaultyProxy &) = delete;

    // Returns once the mode is in force.
    void setMode(Mode mode);

private:
    class Connection;

    void accept();

    boost::asio::io_context m_context{1};
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    Mode m_mode = Mode::Forward;
    std::list<std::weak_ptr<Connection>> m_connections;
    std::thread m_thread;
};

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_FAULTY_PROXY_HPP_INCLUDED
