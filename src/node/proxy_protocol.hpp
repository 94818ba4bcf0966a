// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_PROXY_PROTOCOL_HPP_INCLUDED
#define FORDWOOD_NODE_PROXY_PROTOCOL_HPP_INCLUDED

#include <cstdint>

// How a node asks a peer for a connection to an upstream: an HTTP/1.1 request with an upgrade.
// After the peer has switched protocols, the connection carries the bytes of the connection to the
// upstream in both directions.
namespace fordwood::node {

inline constexpr const char *kProxyTarget = "/upstream";
inline constexpr const char *kProxyUpgrade = "fordwood-proxy";
inline constexpr const char *kProxyUpstreamField = "Fordwood-Upstream"; // instance id
inline constexpr const char *kProxyNodeField = "Fordwood-Node"; // name of the node that asks

// Heads of these messages are small; a longer one does not come from a node.
inline constexpr std::uint32_t kMaxProxyHeadBytes = 2'048;

// The result of a request to a proxy.
enum class ProxyResult {
    Connected,
    UpstreamUnreachable, // the peer could not connect to the upstream
    PeerFailed, // the peer did not answer, or does not act as a proxy at the moment
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_PROXY_PROTOCOL_HPP_INCLUDED
