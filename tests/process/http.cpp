// SPDX-License-Identifier: MIT
#include "process/http.hpp"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include <curl/curl.h>

#include "adapters/http/socket_address.hpp"

namespace fordwood::process {

namespace {

constexpr long kTimeoutMs = 60'000;

std::size_t onBody(char *data, std::size_t size, std::size_t n, void *answer)
{
    static_cast<HttpAnswer *>(answer)->body.append(data, size * n);
    return size * n;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t n, void *answer)
{
    const std::string line(data, size * n);
    const std::size_t colon = line.find(": ");
    if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
        static_cast<HttpAnswer *>(answer)->headers[name]
            = line.substr(colon + 2, line.find_last_not_of("\r\n") - colon - 1);
    }
    return size * n;
}

} // namespace

HttpCaller::HttpCaller() : m_easy(curl_easy_init()) { }

HttpCaller::~HttpCaller()
{
    curl_easy_cleanup(m_easy);
}

HttpAnswer HttpCaller::call(const std::string &method, const std::string &url,
                            const std::string &body, const std::vector<std::string> &headers)
{
    HttpAnswer answer;
    CURL *easy = m_easy;
    curl_easy_reset(easy);
    curl_slist *list = curl_slist_append(nullptr, "Expect:");
    for (const std::string &it : headers)
        list = curl_slist_append(list, it.c_str());
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, kTimeoutMs);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
    if (!body.empty()) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &answer);
    answer.isComplete = curl_easy_perform(easy) == CURLE_OK;
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
    curl_slist_free_all(list);
    return answer;
}

HttpAnswer httpCall(const std::string &method, const std::string &url, const std::string &body,
                    const std::vector<std::string> &headers)
{
    return HttpCaller().call(method, url, body, headers);
}

namespace {

// Connects, sends the bytes and returns the socket; -1 when the connection fails.
int sendBytes(const std::string &address, const std::string &bytes)
{
    const auto target = adapters::parseSocketAddress(address);
    const int fd = socket(target->storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, target->get(), sizeof(sockaddr_in)) == 0) {
        send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        return fd;
    }
    close(fd);
    return -1;
}

} // namespace

void sendAndClose(const std::string &address, const std::string &bytes)
{
    const int fd = sendBytes(address, bytes);
    if (fd >= 0)
        close(fd);
}

namespace {

// Reads until the received bytes contain `expectedText` or the peer closes the connection.
std::string readUntil(int fd, const std::string &expectedText)
{
    std::string received;
    std::array<char, 4096> buf{};
    pollfd waiting{fd, POLLIN, 0};
    while (fd >= 0 && poll(&waiting, 1, static_cast<int>(kTimeoutMs)) > 0) {
        const ssize_t n = recv(fd, buf.data(), buf.size(), 0);
        if (n <= 0)
            break;
        received.append(buf.data(), static_cast<std::size_t>(n));
        if (!expectedText.empty() && received.find(expectedText) != std::string::npos)
            break;
    }
    return received;
}

} // namespace

IdleConnection::IdleConnection(const std::string &address) : m_socket(sendBytes(address, "")) { }

IdleConnection::IdleConnection(IdleConnection &&other) noexcept
    : m_socket(std::exchange(other.m_socket, -1))
{ }

IdleConnection::~IdleConnection()
{
    if (m_socket >= 0)
        close(m_socket);
}

bool IdleConnection::exchange(const std::string &bytes, const std::string &expectedText)
{
    send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return readUntil(m_socket, expectedText).find(expectedText) != std::string::npos;
}

FullListener::FullListener(const std::string &ip)
{
    constexpr int kConnections = 2; // one more than a backlog of zero holds
    const auto any = adapters::parseSocketAddress(ip + ":0");
    const int listener = socket(any->storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    m_sockets.push_back(listener);
    std::ignore = bind(listener, any->get(), sizeof(sockaddr_in));
    listen(listener, 0);
    sockaddr_in bound{};
    socklen_t length = sizeof(bound);
    getsockname(listener, reinterpret_cast<sockaddr *>(&bound), &length);
    m_address = ip + ":" + std::to_string(ntohs(bound.sin_port));
    for (int n = 0; n < kConnections; ++n) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        // It stays in progress once the backlog is full.
        std::ignore = connect(fd, reinterpret_cast<const sockaddr *>(&bound), sizeof(bound));
        m_sockets.push_back(fd);
    }
}

FullListener::~FullListener()
{
    for (const int it : m_sockets)
        close(it);
}

ClaimedNetwork::ClaimedNetwork()
{
    constexpr int kNetworks = 250;
    const int start = static_cast<int>(getpid());
    for (int n = 0; n < kNetworks && m_socket < 0; ++n) {
        m_prefix = "127.70." + std::to_string((start + n) % kNetworks + 1) + ".";
        const auto address = adapters::parseSocketAddress(m_prefix + "250:7000");
        const int fd = socket(address->storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (bind(fd, address->get(), sizeof(sockaddr_in)) == 0)
            m_socket = fd;
        else
            close(fd);
    }
}

ClaimedNetwork::~ClaimedNetwork()
{
    close(m_socket);
}

std::string rawCall(const std::string &address, const std::string &bytes,
                    const std::string &expectedText)
{
    const int fd = sendBytes(address, bytes);
    std::string received = readUntil(fd, expectedText);
    if (fd >= 0)
        close(fd);
    return received;
}

std::string halfClosedCall(const std::string &address, const std::string &bytes,
                           const std::string &expectedText)
{
    const int fd = sendBytes(address, bytes);
    std::string received = readUntil(fd, expectedText);
    shutdown(fd, SHUT_WR); // fails if the peer has closed the connection
    received += readUntil(fd, "");
    if (fd >= 0)
        close(fd);
    return received;
}

} // namespace fordwood::process
