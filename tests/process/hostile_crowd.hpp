// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_HOSTILE_CROWD_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_HOSTILE_CROWD_HPP_INCLUDED

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "adapters/http/socket_address.hpp"
#include "process/process.hpp"

namespace fordwood::process {

// What a hostile caller sends: a begin, and then a part without end.
struct Form
{
    std::string name;
    std::string begin;
    std::string part;
};

// The size of a crowd.
struct Crowd
{
    std::size_t callers;
    std::size_t bytesEach;
};

constexpr Crowd kLargeCallers{8, 16'000'000};
constexpr Crowd kManyCallers{700, 60'000};

// A connection that sends a form until it has sent all, or the node refuses more.
class HostileCaller
{
public:
    HostileCaller(const std::string &address, const Form &form, std::size_t bytes)
        : m_form(form), m_left(bytes), m_pending(form.begin)
    {
        const auto target = fordwood::adapters::parseSocketAddress(address);
        m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (connect(m_socket, target->get(), sizeof(sockaddr_in)) != 0)
            m_left = 0;
    }
    ~HostileCaller() { close(m_socket); }
    HostileCaller(const HostileCaller &) = delete;
    HostileCaller &operator=(const HostileCaller &) = delete;

    // Sends what the connection takes now. Returns false once there is nothing more to send.
    bool sendSome()
    {
        while (m_left > 0) {
            if (m_pending.empty())
                refill();
            const auto n = send(m_socket, m_pending.data(), std::min(m_pending.size(), m_left),
                                MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n < 0 && errno == EAGAIN)
                return true;
            if (n < 0)
                m_left = 0;
            else
                sent(static_cast<std::size_t>(n));
        }
        return false;
    }

    pollfd wanted() const { return {m_left > 0 ? m_socket : -1, POLLOUT, 0}; }

private:
    void refill()
    {
        constexpr std::size_t kBlock = 65'536;
        while (m_pending.size() < kBlock && !m_form.part.empty())
            m_pending += m_form.part;
        if (m_pending.empty())
            m_left = 0;
    }

    void sent(std::size_t n)
    {
        m_pending.erase(0, n);
        m_left -= std::min(m_left, n);
    }

    const Form m_form;
    std::size_t m_left;
    std::string m_pending;
    int m_socket = -1;
};

// Callers that send a form at the same time, and keep their connections until they are destroyed.
class HostileCrowd
{
public:
    HostileCrowd(const std::string &address, const Form &form, Crowd crowd)
    {
        for (std::size_t n = 0; n < crowd.callers; ++n)
            m_callers.push_back(std::make_unique<HostileCaller>(address, form, crowd.bytesEach));
    }

    // Sends all of it. Returns the most memory that the process used meanwhile.
    std::size_t run(const Process &process)
    {
        constexpr int kWaitMs = 20;
        std::size_t peak = 0;
        const auto until = std::chrono::steady_clock::now() + kMaxTime;
        for (bool isSending = true; isSending && std::chrono::steady_clock::now() < until;) {
            isSending = false;
            std::vector<pollfd> wanted;
            for (const auto &it : m_callers) {
                isSending = it->sendSome() || isSending;
                wanted.push_back(it->wanted());
            }
            if (isSending)
                poll(wanted.data(), wanted.size(), kWaitMs);
            peak = std::max(peak, process.usage().residentBytes);
        }
        return peak;
    }

private:
    static constexpr std::chrono::seconds kMaxTime{20};

    std::vector<std::unique_ptr<HostileCaller>> m_callers;
};

// Forms of input that does not end. `head`: of a request with a chunked body, without its last
// line.
inline std::vector<Form> endlessForms(const std::string &head)
{
    const std::string longText(1'000, 'a');
    return {
        {"trailers", head + "\r\n4\r\nbody\r\n0\r\n", "X-T: " + longText + "\r\n"},
        {"announced trailers", head + "Trailer: X-T\r\n\r\n4\r\nbody\r\n0\r\n", "X-T: a\r\n"},
        {"trailers without a body", head + "\r\n0\r\n", "X-T: " + longText + "\r\n"},
        {"a folded trailer", head + "\r\n0\r\nX-T: a\r\n", " " + longText + "\r\n"},
        {"trailers without a name", head + "\r\n0\r\n", ": " + longText + "\r\n"},
        {"one trailer", head + "\r\n0\r\nX-T: ", longText},
        {"a chunk extension", head + "\r\n4;", longText},
        {"chunk extensions", head + "\r\n4", ";a=b"},
        {"a chunk's size", head + "\r\n", std::string(1'000, '0')},
        {"small chunks", head + "\r\n", "1\r\na\r\n"},
        {"a head", head, "X-F: " + longText + "\r\n"},
        {"one field", head + "X-F: ", longText},
        {"a target", "GET /", longText},
        {"line ends", "", "\r\n"},
    };
}

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_HOSTILE_CROWD_HPP_INCLUDED
