// SPDX-License-Identifier: MIT
#include "process/faulty_proxy.hpp"

#include <array>
#include <future>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace fordwood::process {

namespace net = boost::asio;
using net::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    return {net::ip::make_address(address.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

} // namespace

class FaultyProxy::Connection : public std::enable_shared_from_this<Connection>
{
public:
    explicit Connection(tcp::socket client)
        : m_client(std::move(client)), m_server(m_client.get_executor())
    { }

    void start(const tcp::endpoint &target)
    {
        m_server.async_connect(target, [self = shared_from_this()](const ErrorCode &ec) {
            if (ec) {
                self->reset();
                return;
            }
            self->relay(self->m_client, self->m_server, self->m_fromClient);
            self->relay(self->m_server, self->m_client, self->m_fromServer);
        });
    }

    // For a connection that is silent from the beginning: there is no server.
    void startSilently()
    {
        silence();
        relay(m_client, m_server, m_fromClient);
    }

    void reset()
    {
        ErrorCode ec; // a closed socket needs no option
        m_client.set_option(net::socket_base::linger(true, 0), ec);
        close();
    }

    // Keeps the connection open until the client closes it. Nothing is forwarded any more.
    void silence() { m_isSilent = true; }

private:
    using Buffer = std::array<char, 65'536>;

    // While silent, what is read is discarded.
    void relay(tcp::socket &from, tcp::socket &to, Buffer &buffer)
    {
        from.async_read_some(net::buffer(buffer), [self = shared_from_this(), &from, &to,
                                                   &buffer](const ErrorCode &ec, std::size_t n) {
            const bool isClosedByClient = &from == &self->m_client;
            if (ec && (isClosedByClient || !self->m_isSilent))
                self->close();
            else if (!ec && self->m_isSilent)
                self->relay(from, to, buffer);
            else if (!ec)
                self->send(from, to, buffer, n);
        });
    }

    void send(tcp::socket &from, tcp::socket &to, Buffer &buffer, std::size_t n)
    {
        net::async_write(
            to, net::buffer(buffer, n),
            [self = shared_from_this(), &from, &to, &buffer](const ErrorCode &ec, std::size_t) {
                if (ec && !self->m_isSilent)
                    self->close();
                else
                    self->relay(from, to, buffer);
            });
    }

    void close()
    {
        ErrorCode ec; // closing a closed socket is harmless
        m_client.close(ec);
        m_server.close(ec);
    }

    tcp::socket m_client;
    tcp::socket m_server;
    Buffer m_fromClient{};
    Buffer m_fromServer{};
    bool m_isSilent = false;
};

FaultyProxy::FaultyProxy(const std::string &listen, const std::string &target)
    : m_acceptor(m_context, endpointOf(listen)), m_target(endpointOf(target))
{
    accept();
    m_thread = std::thread([this] { m_context.run(); });
}

FaultyProxy::~FaultyProxy()
{
    m_context.stop();
    m_thread.join();
}

void FaultyProxy::accept()
{
    m_acceptor.async_accept([this](const ErrorCode &ec, tcp::socket client) {
        if (ec)
            return;
        const auto connection = std::make_shared<Connection>(std::move(client));
        std::erase_if(m_connections, [](const auto &it) { return it.expired(); });
        m_connections.push_back(connection);
        if (m_mode == Mode::Forward)
            connection->start(m_target);
        else if (m_mode == Mode::Reset)
            connection->reset();
        else
            connection->startSilently();
        accept();
    });
}

void FaultyProxy::setMode(Mode mode)
{
    std::promise<void> done;
    net::post(m_context, [this, mode, &done] {
        m_mode = mode;
        for (const auto &it : m_connections) {
            const auto connection = it.lock();
            if (connection && mode == Mode::Reset)
                connection->reset();
            else if (connection && mode == Mode::Silent)
                connection->silence();
        }
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace fordwood::process
