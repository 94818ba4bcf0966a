// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_REQUEST_FINGERPRINT_HPP_INCLUDED
#define FORDWOOD_REQUEST_FINGERPRINT_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace fordwood {

// The content by which upstreams would treat two requests as the same, whatever ids the callers
// assigned.
struct RequestContent
{
    std::string_view method;
    std::string_view host;
    std::string_view target; // path and query
    std::string_view team; // empty on a public route
    std::string_view body;
};

// A hash of the content of a request, equal on every node: 128 bits, so that accidental collisions
// within a fleet are practically impossible.
struct RequestFingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const RequestFingerprint &) const = default;
    bool operator<(const RequestFingerprint &other) const
    {
        return std::tie(high, low) < std::tie(other.high, other.low);
    }

    // 32 hexadecimal digits.
    std::string text() const;

    // Empty if the text is not a fingerprint.
    static std::optional<RequestFingerprint> parse(std::string_view text);
};

RequestFingerprint fingerprintOf(const RequestContent &content);

} // namespace fordwood

#endif // FORDWOOD_REQUEST_FINGERPRINT_HPP_INCLUDED
