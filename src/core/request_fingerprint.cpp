// SPDX-License-Identifier: MIT
#include "fordwood/request_fingerprint.hpp"

#include <array>
#include <charconv>
#include <memory>

#include <xxhash.h>

namespace fordwood {

namespace {

constexpr std::size_t kHalfDigits = 16; // hexadecimal digits per 64 bits
constexpr int kBase = 16;

std::string formatHalf(std::uint64_t half)
{
    std::array<char, kHalfDigits> digits{};
    const auto end = std::to_chars(digits.begin(), digits.end(), half, kBase).ptr;
    const auto n = static_cast<std::size_t>(end - digits.begin());
    return std::string(kHalfDigits - n, '0') + std::string(digits.begin(), end);
}

std::optional<std::uint64_t> parseHalf(std::string_view text)
{
    std::uint64_t half = 0;
    const char *const end = text.data() + text.size();
    const auto [read, ec] = std::from_chars(text.data(), end, half, kBase);
    if (ec != std::errc() || read != end)
        return std::nullopt;
    return half;
}

} // namespace

std::string RequestFingerprint::text() const
{
    return formatHalf(high) + formatHalf(low);
}

std::optional<RequestFingerprint> RequestFingerprint::parse(std::string_view text)
{
    if (text.size() != 2 * kHalfDigits)
        return std::nullopt;
    const auto high = parseHalf(text.substr(0, kHalfDigits));
    const auto low = parseHalf(text.substr(kHalfDigits));
    if (!high || !low)
        return std::nullopt;
    return RequestFingerprint{*high, *low};
}

RequestFingerprint fingerprintOf(const RequestContent &content)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                         &XXH3_freeState);
    XXH3_128bits_reset(state.get());
    for (const std::string_view it :
         {content.method, content.host, content.target, content.team, content.body}) {
        // Each part is preceded by its length, so that moving bytes between adjacent parts changes
        // the hash.
        const std::uint64_t n = it.size();
        XXH3_128bits_update(state.get(), &n, sizeof n);
        XXH3_128bits_update(state.get(), it.data(), it.size());
    }
    const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
    return {hash.high64, hash.low64};
}

} // namespace fordwood
