// SPDX-License-Identifier: MIT
// Loaded into a node process by LD_PRELOAD. Breaks the process's paths to single addresses, as a
// network partition does that other nodes do not see. The file named by FORDWOOD_BROKEN_PATHS has a
// line "refuse IP" or "hang IP LISTENER" for each. Connections in use are lost with the next bytes
// that are sent on them, and datagrams are lost. LISTENER is an address whose backlog is full, so
// that connecting to it takes forever.
#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <dlfcn.h>
#include <fstream>
#include <netinet/in.h>
#include <optional>
#include <sstream>
#include <string>
#include <sys/socket.h>

namespace {

struct BrokenPath
{
    std::string how;
    std::string listener; // "IP:port"
};

std::string ipOf(const sockaddr *address)
{
    if (address == nullptr || address->sa_family != AF_INET)
        return "";
    char text[INET_ADDRSTRLEN] = {};
    const auto *in = reinterpret_cast<const sockaddr_in *>(address);
    inet_ntop(AF_INET, &in->sin_addr, text, sizeof(text));
    return text;
}

std::optional<BrokenPath> brokenPathTo(const std::string &ip)
{
    const char *path = std::getenv("FORDWOOD_BROKEN_PATHS");
    if (path == nullptr || ip.empty())
        return std::nullopt;
    std::ifstream in(path);
    for (std::string line; std::getline(in, line);) {
        std::istringstream words(line);
        BrokenPath found;
        std::string address;
        words >> found.how >> address >> found.listener;
        if (address == ip)
            return found;
    }
    return std::nullopt;
}

sockaddr_in parseAddress(const std::string &text)
{
    const std::size_t colon = text.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

// Whether the peer of the connection is behind a broken path. If so, the connection is shut down.
bool isLost(int fd)
{
    sockaddr_storage peer{};
    socklen_t length = sizeof(peer);
    if (::getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &length) != 0
        || !brokenPathTo(ipOf(reinterpret_cast<const sockaddr *>(&peer))))
        return false;
    ::shutdown(fd, SHUT_RDWR);
    errno = ECONNRESET;
    return true;
}

ssize_t sizeOf(const msghdr &message)
{
    ssize_t size = 0;
    for (std::size_t n = 0; n < message.msg_iovlen; ++n)
        size += static_cast<ssize_t>(message.msg_iov[n].iov_len);
    return size;
}

template <typename Function>
Function *original(const char *name)
{
    return reinterpret_cast<Function *>(dlsym(RTLD_NEXT, name));
}

} // namespace

extern "C" int connect(int fd, const sockaddr *address, socklen_t length)
{
    static auto *const next = original<int(int, const sockaddr *, socklen_t)>("connect");
    const auto broken = brokenPathTo(ipOf(address));
    if (!broken)
        return next(fd, address, length);
    if (broken->how == "refuse") {
        errno = ECONNREFUSED;
        return -1;
    }
    const sockaddr_in listener = parseAddress(broken->listener);
    return next(fd, reinterpret_cast<const sockaddr *>(&listener), sizeof(listener));
}

extern "C" ssize_t sendmsg(int fd, const msghdr *message, int flags)
{
    static auto *const next = original<ssize_t(int, const msghdr *, int)>("sendmsg");
    if (brokenPathTo(ipOf(static_cast<const sockaddr *>(message->msg_name))))
        return sizeOf(*message);
    return isLost(fd) ? -1 : next(fd, message, flags);
}

extern "C" ssize_t send(int fd, const void *bytes, std::size_t size, int flags)
{
    static auto *const next = original<ssize_t(int, const void *, std::size_t, int)>("send");
    return isLost(fd) ? -1 : next(fd, bytes, size, flags);
}

extern "C" ssize_t sendto(int fd, const void *bytes, std::size_t size, int flags,
                          const sockaddr *address, socklen_t length)
{
    using SendTo = ssize_t(int, const void *, std::size_t, int, const sockaddr *, socklen_t);
    static auto *const next = original<SendTo>("sendto");
    if (brokenPathTo(ipOf(address)))
        return static_cast<ssize_t>(size);
    return next(fd, bytes, size, flags, address, length);
}
