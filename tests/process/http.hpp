// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_HTTP_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_HTTP_HPP_INCLUDED

#include <map>
#include <string>
#include <vector>

namespace fordwood::process {

// An answer as the caller receives it.
struct HttpAnswer
{
    int status = 0; // zero: no answer
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    bool isComplete = false; // complete according to HTTP framing
};

// A caller that keeps its connections open from one request to the next.
class HttpCaller
{
public:
    HttpCaller();
    ~HttpCaller();
    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    // Sends one request and waits until its answer ends.
    HttpAnswer call(const std::string &method, const std::string &url, const std::string &body = "",
                    const std::vector<std::string> &headers = {});

private:
    void *m_easy;
};

// Sends one request on a new connection and waits until its answer ends.
HttpAnswer httpCall(const std::string &method, const std::string &url, const std::string &body = "",
                    const std::vector<std::string> &headers = {});

// A connection that stays open between exchanges.
class IdleConnection
{
public:
    // Connects to "IP:port".
    explicit IdleConnection(const std::string &address);
    IdleConnection(IdleConnection &&other) noexcept;
    IdleConnection(const IdleConnection &) = delete;
    IdleConnection &operator=(const IdleConnection &) = delete;
    ~IdleConnection();

    // Sends raw bytes and reads until the received bytes contain `expectedText`; false when the
    // peer closes the connection first.
    bool exchange(const std::string &bytes, const std::string &expectedText);

private:
    int m_socket = -1;
};

// Listens at a port of the IP and accepts nothing. Its backlog is full, so that connecting to it
// takes forever.
class FullListener
{
public:
    explicit FullListener(const std::string &ip);
    FullListener(const FullListener &) = delete;
    FullListener &operator=(const FullListener &) = delete;
    ~FullListener();

    std::string address() const { return m_address; }

private:
    std::string m_address;
    std::vector<int> m_sockets;
};

// A network of loopback addresses that no other process claims while this object exists.
class ClaimedNetwork
{
public:
    ClaimedNetwork();
    ClaimedNetwork(const ClaimedNetwork &) = delete;
    ClaimedNetwork &operator=(const ClaimedNetwork &) = delete;
    ~ClaimedNetwork();

    const std::string &prefix() const { return m_prefix; } // "127.a.b."

private:
    std::string m_prefix;
    int m_socket = -1; // bound as long as the network is claimed
};

// Sends raw bytes to "IP:port" and closes the connection without reading.
void sendAndClose(const std::string &address, const std::string &bytes);

// Sends raw bytes to "IP:port" and reads until the peer closes the connection or the received bytes
// contain `expectedText`.
std::string rawCall(const std::string &address, const std::string &bytes,
                    const std::string &expectedText = "");

// As rawCall(), but closes the sending side only once the text has been received, and reads on
// until the peer closes the connection.
std::string halfClosedCall(const std::string &address, const std::string &bytes,
                           const std::string &expectedText);

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_HTTP_HPP_INCLUDED
