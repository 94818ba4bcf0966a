// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_RENDEZVOUS_HPP_INCLUDED
#define FORDWOOD_RENDEZVOUS_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fordwood {

// A 64-bit hash of a text, the same on every node and in every version.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

// The weight of one node for one key in rendezvous hashing; the highest weight wins.
std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::uint64_t nodeHash);

// The index of the node that ranks highest for the key, or -1 when there is none.
// Nodes are given by the stable hashes of their names.
int rendezvousWinner(std::uint64_t keyHash, const std::vector<std::uint64_t> &nodeHashes);

// The rank of a node for the key among the other nodes, by name; zero is the first.
std::size_t rendezvousRank(std::uint64_t keyHash, const std::string &node,
                           const std::vector<std::string> &others);

// The same, for known hashes of the names.
std::size_t rendezvousRank(std::uint64_t keyHash, std::uint64_t nodeHash,
                           const std::vector<std::uint64_t> &otherHashes);

// Maps a hash to a fraction from 0 to below 1, for weighted choices.
double hashFraction(std::uint64_t hash);

// Indices of the first `count` nodes in rendezvous order for the key.
std::vector<std::size_t> rendezvousOrder(std::uint64_t keyHash,
                                         const std::vector<std::uint64_t> &nodeHashes,
                                         std::size_t count);

} // namespace fordwood

#endif // FORDWOOD_RENDEZVOUS_HPP_INCLUDED
