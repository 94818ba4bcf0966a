// SPDX-License-Identifier: MIT
#include "fordwood/request_fingerprint.hpp"

#include <array>
#include <charconv>
#include <initializer_list>
#include <memory>

#include <xxhash.h>

namespace fordwood {

namespace {

constexpr std::size_t kHalfDigits = 16; // hexadecimal digits per 64 bits
constexpr int kBase = 16;
constexpr std::string_view kPartPrefix = "part-";

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

RequestFingerprint hashOf(std::initializer_list<std::string_view> texts)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                         &XXH3_freeState);
    XXH3_128bits_reset(state.get());
    for (const std::string_view it : texts) {
        // Each part is preceded by its length, so that moving bytes between adjacent parts changes
        // the hash.
        const std::uint64_t n = it.size();
        XXH3_128bits_update(state.get(), &n, sizeof n);
        XXH3_128bits_update(state.get(), it.data(), it.size());
    }
    const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
    return {hash.high64, hash.low64};
}

} // namespace

std::string RequestFingerprint::text() const
{
    return (isPart ? std::string(kPartPrefix) : std::string()) + formatHalf(high) + formatHalf(low);
}

std::optional<RequestFingerprint> RequestFingerprint::parse(std::string_view text)
{
    const bool isPart = text.starts_with(kPartPrefix);
    if (isPart)
        text.remove_prefix(kPartPrefix.size());
    if (text.size() != 2 * kHalfDigits)
        return std::nullopt;
    const auto high = parseHalf(text.substr(0, kHalfDigits));
    const auto low = parseHalf(text.substr(kHalfDigits));
    if (!high || !low)
        return std::nullopt;
    return RequestFingerprint{*high, *low, isPart};
}

RequestFingerprint fingerprintOf(const RequestContent &content)
{
    return hashOf({content.method, content.host, content.target, content.team, content.body});
}

RequestFingerprint fingerprintOfPart(std::string_view service, std::string_view partId)
{
    RequestFingerprint fingerprint = hashOf({service, partId});
    fingerprint.isPart = true;
    return fingerprint;
}

} // namespace fordwood
