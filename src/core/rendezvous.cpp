// SPDX-License-Identifier: MIT
#include "fordwood/rendezvous.hpp"

#include <algorithm>
#include <numeric>

#include <xxhash.h>

namespace fordwood {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::uint64_t nodeHash)
{
    // The finalizer of SplitMix64: a few instructions, and every input bit reaches every output
    // bit.
    std::uint64_t mixed = keyHash ^ (nodeHash * 0x9e3779b97f4a7c15ULL);
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

int rendezvousWinner(std::uint64_t keyHash, const std::vector<std::uint64_t> &nodeHashes)
{
    int winner = -1;
    std::uint64_t best = 0;
    for (std::size_t it = 0; it < nodeHashes.size(); ++it) {
        const std::uint64_t weight = rendezvousWeight(keyHash, nodeHashes[it]);
        if (winner < 0 || weight > best) {
            winner = static_cast<int>(it);
            best = weight;
        }
    }
    return winner;
}

std::size_t rendezvousRank(std::uint64_t keyHash, const std::string &node,
                           const std::vector<std::string> &others)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(others.size());
    for (const std::string &it : others)
        hashes.push_back(stableHash(it));
    return rendezvousRank(keyHash, stableHash(node), hashes);
}

std::size_t rendezvousRank(std::uint64_t keyHash, std::uint64_t nodeHash,
                           const std::vector<std::uint64_t> &otherHashes)
{
    const std::uint64_t own = rendezvousWeight(keyHash, nodeHash);
    const auto before
        = std::count_if(otherHashes.begin(), otherHashes.end(),
                        [&](std::uint64_t it) { return rendezvousWeight(keyHash, it) > own; });
    return static_cast<std::size_t>(before);
}

double hashFraction(std::uint64_t hash)
{
    // A double holds 53 bits exactly, so that the result stays below 1.
    constexpr unsigned kDroppedBits = 11;
    constexpr double kRange = 9007199254740992.0; // 2^53
    return static_cast<double>(hash >> kDroppedBits) / kRange;
}

std::vector<std::size_t> rendezvousOrder(std::uint64_t keyHash,
                                         const std::vector<std::uint64_t> &nodeHashes,
                                         std::size_t count)
{
    std::vector<std::size_t> order(nodeHashes.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const std::size_t n = std::min(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end(),
                      [&](std::size_t a, std::size_t b) {
                          return rendezvousWeight(keyHash, nodeHashes[a])
                                 > rendezvousWeight(keyHash, nodeHashes[b]);
                      });
    order.resize(n);
    return order;
}

} // namespace fordwood
