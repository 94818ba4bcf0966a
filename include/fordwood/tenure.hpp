// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TENURE_HPP_INCLUDED
#define FORDWOOD_TENURE_HPP_INCLUDED

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood {

// A process that can hold tenures, identified by the node's name and boot number. A restarted node
// has another boot number, since it no longer knows which keys have run.
struct KeyHolder
{
    std::string node;
    std::uint64_t boot = 0;

    bool operator==(const KeyHolder &) const = default;
};

// The exclusive right to run requests whose idempotency keys were issued in an interval of calendar
// time. Checks compare the key's issue time with the agreed bounds and never compare two clocks, so
// a holder that was paused or replaced cannot run a request that its successor may run.
struct Tenure
{
    KeyHolder holder;
    WallTime from{};
    WallTime until{}; // exclusive

    bool covers(WallTime issued) const { return from <= issued && issued < until; }
    bool operator==(const Tenure &) const = default;
};

// The tenures of one key partition: disjoint and in chronological order. Written tenures remain
// valid, except that a holder can hand over its own.
using TenureChain = std::vector<Tenure>;

// Number of key partitions. Part of the protocol: it must be the same on all nodes.
constexpr std::uint32_t kKeyPartitions = 256;
// Number of stored values over which the partitions are distributed.
constexpr std::uint32_t kTenureValues = 8;

constexpr std::uint32_t tenureValueOf(std::uint32_t partition)
{
    return partition % kTenureValues;
}

std::string tenureKey(std::uint32_t value);

// The partition of an idempotency key.
std::uint32_t keyPartition(const std::string &team, const std::string &key);

// The index of the node that should hold a partition. The nodes are given by the stable hashes of
// their names. -1 when there are none.
int keyHolderIndex(std::uint32_t partition, const std::vector<std::uint64_t> &nodeHashes);

// The index of the node that extends the tenures of a stored value, likewise.
int tenureExtenderIndex(std::uint32_t value, const std::vector<std::uint64_t> &nodeHashes);

struct TenureTimings
{
    Duration horizon = std::chrono::seconds(10); // how far a tenure extends into the future
    Duration period = std::chrono::seconds(3); // between extensions
    Duration window = std::chrono::minutes(10); // how long past tenures and keys are kept
};

// Extends the chains of one stored value: each partition's last tenure extends to now plus the
// horizon and belongs to the holder that `holderOf` returns. A tenure is never shortened; the
// tenure of a new holder begins where the last one ends. Tenures that ended before the window are
// dropped.
std::map<std::uint32_t, TenureChain>
extendTenures(std::map<std::uint32_t, TenureChain> chains, std::uint32_t value,
              const std::function<KeyHolder(std::uint32_t partition)> &holderOf, WallTime now,
              const TenureTimings &timings);

// Hands the tenures of a process over to the holders that `successor` returns, in the chains of one
// stored value. Partitions without a successor are unchanged.
std::map<std::uint32_t, TenureChain>
handOverTenures(std::map<std::uint32_t, TenureChain> chains, const KeyHolder &from,
                const std::function<KeyHolder(std::uint32_t partition)> &successor);

} // namespace fordwood

#endif // FORDWOOD_TENURE_HPP_INCLUDED
