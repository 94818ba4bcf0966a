// SPDX-License-Identifier: MIT
#include "node/packing.hpp"

#include <cstdint>
#include <stdexcept>

#include <zlib.h>

namespace fordwood::node {

namespace {

// The size of the original bytes comes first, in little-endian order.
constexpr std::size_t kSizeBytes = 8;

// A message that claims to be larger is not unpacked.
constexpr std::uint64_t kMaxUnpackedBytes = 256'000'000;

std::string encodeSize(std::uint64_t size)
{
    std::string bytes;
    for (std::size_t n = 0; n < kSizeBytes; ++n)
        bytes.push_back(static_cast<char>(size >> (8 * n) & 0xFF));
    return bytes;
}

std::uint64_t decodeSize(std::string_view bytes)
{
    std::uint64_t size = 0;
    for (std::size_t n = 0; n < kSizeBytes; ++n)
        size |= std::uint64_t{static_cast<unsigned char>(bytes[n])} << (8 * n);
    return size;
}

} // namespace

std::string pack(std::string_view bytes)
{
    uLongf packedSize = compressBound(bytes.size());
    std::string packed = encodeSize(bytes.size());
    packed.resize(kSizeBytes + packedSize);
    const int result
        = compress2(reinterpret_cast<Bytef *>(packed.data() + kSizeBytes), &packedSize,
                    reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    if (result != Z_OK) // only for lack of memory
        throw std::runtime_error("compress2 failed with " + std::to_string(result));
    packed.resize(kSizeBytes + packedSize);
    packed.shrink_to_fit();
    return packed;
}

std::optional<std::string> unpack(std::string_view packed)
{
    if (packed.size() < kSizeBytes)
        return std::nullopt;
    const std::uint64_t size = decodeSize(packed);
    packed.remove_prefix(kSizeBytes);
    if (size > kMaxUnpackedBytes)
        return std::nullopt;
    std::string bytes(size, '\0');
    uLongf unpackedSize = bytes.size();
    const int result = uncompress(reinterpret_cast<Bytef *>(bytes.data()), &unpackedSize,
                                  reinterpret_cast<const Bytef *>(packed.data()), packed.size());
    if (result != Z_OK || unpackedSize != size)
        return std::nullopt;
    return bytes;
}

} // namespace fordwood::node
