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

// How many of the other nodes rank before a node for the key, by name: zero for the first.
std::size_t rendezvousRank(std::uint64_t keyHash, const std::string &node,
                           const std::vector<std::string> &others);

// The same where the hashes of the names are known.
std::size_t rendezvousRank(std::uint64_t keyHash, std::uint64_t nodeHash,
                           const std::vector<std::uint64_t> &otherHashes);

// A hash as a fraction of its range, from 0 to below 1: for choices by weight.
double hashFraction(std::uint64_t hash);

// Indices of the first `count` nodes in rendezvous order for the key.
std::vector<std::size_t> rendezvousOrder(std::uint64_t keyHash,
                                         const std::vector<std::uint64_t> &nodeHashes,
                                         std::size_t count);

} // namespace fordwood

#endif // FORDWOOD_RENDEZVOUS_HPP_INCLUDED
