// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_REQUEST_FINGERPRINT_HPP_INCLUDED
#define FORDWOOD_REQUEST_FINGERPRINT_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace fordwood {

// What makes two requests the same to an upstream, whatever ids their callers gave them.
struct RequestContent
{
    std::string_view method;
    std::string_view host;
    std::string_view target; // path and query
    std::string_view team; // empty on a public route
    std::string_view body;
};

// A name for the content of a request, alike on every node: 128 bits, so that two requests of a
// fleet do not share one by chance.
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

    // Nothing: the text is no fingerprint.
    static std::optional<RequestFingerprint> parse(std::string_view text);
};

RequestFingerprint fingerprintOf(const RequestContent &content);

} // namespace fordwood

#endif // FORDWOOD_REQUEST_FINGERPRINT_HPP_INCLUDED
