// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_REQUEST_FINGERPRINT_HPP_INCLUDED
#define FORDWOOD_REQUEST_FINGERPRINT_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

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

// A hash of the content of a request, or of one shared part of a prompt, equal on every node: 128
// bits, so that accidental collisions within a fleet are practically impossible.
struct RequestFingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    bool isPart = false; // of a prompt

    bool operator==(const RequestFingerprint &) const = default;
    bool operator<(const RequestFingerprint &other) const
    {
        return std::tie(high, low, isPart) < std::tie(other.high, other.low, other.isPart);
    }

    // 32 hexadecimal digits, after "part-" for a part of a prompt.
    std::string text() const;

    // Empty if the text is not a fingerprint.
    static std::optional<RequestFingerprint> parse(std::string_view text);
};

RequestFingerprint fingerprintOf(const RequestContent &content);

// The fingerprint of a part of a prompt. The upstreams of another service may run other software,
// so it differs between services.
RequestFingerprint fingerprintOfPart(std::string_view service, std::string_view partId);

// What a request is known by: its whole content, and the parts of its prompt that other requests
// may share.
struct RequestIdentity
{
    RequestIdentity(const RequestFingerprint &wholeRequest, // NOLINT(google-explicit-constructor)
                    std::vector<RequestFingerprint> sharedParts = {})
        : whole(wholeRequest), parts(std::move(sharedParts))
    { }

    RequestFingerprint whole;
    std::vector<RequestFingerprint> parts;
};

} // namespace fordwood

#endif // FORDWOOD_REQUEST_FINGERPRINT_HPP_INCLUDED
