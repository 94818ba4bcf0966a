// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_SUPPORT_SIMULATED_NETWORK_HPP_INCLUDED
#define FORDWOOD_TESTS_SUPPORT_SIMULATED_NETWORK_HPP_INCLUDED

#include <map>
#include <memory>
#include <set>
#include <string>

#include "fordwood/manual_clock.hpp"
#include "node/datagram_transport.hpp"

namespace fordwood::node {

// Delivers datagrams between nodes on a manual clock. Each node has a link of its own rate for each
// direction, with a short queue that drops what does not fit.
class SimulatedNetwork
{
public:
    explicit SimulatedNetwork(ManualClock &clock) : m_clock(clock) { }

    std::unique_ptr<DatagramTransport> makeTransport(double bytesPerSecond,
                                                     DatagramTransport::OnDatagram receive)
    {
        return std::make_unique<Transport>(*this, bytesPerSecond, std::move(receive));
    }

    // Advances the clock and delivers what arrives meanwhile.
    void run(Duration time)
    {
        const TimePoint end = m_clock.now() + time;
        while (!m_inFlight.empty() && m_inFlight.begin()->first <= end) {
            const auto first = m_inFlight.extract(m_inFlight.begin());
            m_clock.advance(first.key() - m_clock.now());
            arrive(first.mapped());
        }
        m_clock.advance(end - m_clock.now());
    }

    // From now on, datagrams of the node at this address are lost, and those to it.
    void cutOff(const std::string &address) { m_cutOff.insert(address); }

    // From now on every nth datagram is lost, in addition; zero: none.
    void loseEveryNth(std::size_t n) { m_loseEvery = n; }

private:
    static constexpr Duration kQueueTime = std::chrono::milliseconds(50);
    static constexpr Duration kDelay = std::chrono::microseconds(500);

    // One direction of a node's link.
    struct Link
    {
        double bytesPerSecond = 0.0;
        TimePoint freeAt{};

        // Returns when the datagram has passed; nothing: it is dropped.
        std::optional<TimePoint> pass(std::size_t bytes, TimePoint now)
        {
            const TimePoint start = std::max(freeAt, now);
            if (start - now > kQueueTime)
                return std::nullopt;
            const std::chrono::duration<double> time(static_cast<double>(bytes) / bytesPerSecond);
            freeAt = start + std::chrono::duration_cast<Duration>(time);
            return freeAt;
        }
    };

    class Transport : public DatagramTransport
    {
    public:
        Transport(SimulatedNetwork &network, double bytesPerSecond, OnDatagram receive)
            : m_network(network),
              m_receive(std::move(receive)), m_up{bytesPerSecond}, m_down{bytesPerSecond}
        { }
        ~Transport() override { m_network.m_transports.erase(m_address); }

        bool open(const std::string &address, ErrorCode & /*ec*/) override
        {
            m_address = address;
            m_endpoint = parseEndpoint<udp>(address).value();
            m_network.m_transports[address] = this;
            return true;
        }
        void checkForStall() override { }
        bool send(std::string_view bytes, const udp::endpoint &to,
                  const std::string & /*peer*/) override
        {
            m_sent += 1;
            m_network.depart(*this, bytes, to);
            return true;
        }
        std::size_t sent() const override { return m_sent; }
        std::size_t failed() const override { return 0; }

    private:
        friend class SimulatedNetwork;

        SimulatedNetwork &m_network;
        OnDatagram m_receive;
        std::string m_address;
        udp::endpoint m_endpoint;
        Link m_up;
        Link m_down;
        std::size_t m_sent = 0;
    };

    struct Datagram
    {
        std::shared_ptr<const std::string> bytes;
        udp::endpoint from;
        std::string to;
        bool hasPassedLink = false; // of its receiver
    };

    void depart(Transport &from, std::string_view bytes, const udp::endpoint &to)
    {
        const auto passed = from.m_up.pass(bytes.size(), m_clock.now());
        const std::string address = to.address().to_string() + ":" + std::to_string(to.port());
        m_departed += 1;
        const bool isLost = m_loseEvery > 0 && m_departed % m_loseEvery == 0;
        if (!passed || isLost || m_cutOff.contains(from.m_address) || m_cutOff.contains(address))
            return;
        m_inFlight.emplace(*passed + kDelay, Datagram{std::make_shared<const std::string>(bytes),
                                                      from.m_endpoint, address, false});
    }

    void arrive(Datagram datagram)
    {
        const auto it = m_transports.find(datagram.to);
        if (it == m_transports.end())
            return;
        if (datagram.hasPassedLink) {
            it->second->m_receive(*datagram.bytes, datagram.from);
            return;
        }
        const auto passed = it->second->m_down.pass(datagram.bytes->size(), m_clock.now());
        datagram.hasPassedLink = true;
        if (passed)
            m_inFlight.emplace(*passed, std::move(datagram));
    }

    ManualClock &m_clock;
    std::map<std::string, Transport *> m_transports; // by address
    std::multimap<TimePoint, Datagram> m_inFlight;
    std::set<std::string> m_cutOff;
    std::size_t m_loseEvery = 0;
    std::size_t m_departed = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_TESTS_SUPPORT_SIMULATED_NETWORK_HPP_INCLUDED
