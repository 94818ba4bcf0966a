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

// A process that may hold tenures: a node's name and the start of its process. A node that was
// started again has another boot, since it has forgotten which keys have run.
struct KeyHolder
{
    std::string node;
    std::uint64_t boot = 0;

    bool operator==(const KeyHolder &) const = default;
};

// The right to run requests whose idempotency keys were issued in an interval of calendar time. It
// compares the key's issue time with values that were agreed on, never a clock with a clock: a
// holder that was paused, or that lost its place meanwhile, still cannot run what its successor may
// run.
struct Tenure
{
    KeyHolder holder;
    WallTime from{};
    WallTime until{}; // exclusive

    bool covers(WallTime issued) const { return from <= issued && issued < until; }
    bool operator==(const Tenure &) const = default;
};

// The tenures of one key partition: disjoint, in the order of time. What was once written stays
// true, except that a holder may hand its own tenures over.
using TenureChain = std::vector<Tenure>;

// Number of key partitions. A constant of the protocol: two nodes must never disagree about it.
constexpr std::uint32_t kKeyPartitions = 256;
// Values of the platform over which the partitions are spread.
constexpr std::uint32_t kTenureValues = 8;

constexpr std::uint32_t tenureValueOf(std::uint32_t partition)
{
    return partition % kTenureValues;
}

std::string tenureKey(std::uint32_t value);

// The partition of a key.
std::uint32_t keyPartition(const std::string &team, const std::string &key);

// The index of the node that should hold a partition, among nodes given by the stable hashes of
// their names; -1 when there is none.
int keyHolderIndex(std::uint32_t partition, const std::vector<std::uint64_t> &nodeHashes);

// Likewise the node that extends the tenures of a stored value.
int tenureExtenderIndex(std::uint32_t value, const std::vector<std::uint64_t> &nodeHashes);

struct TenureTimings
{
    Duration horizon = std::chrono::seconds(10); // how far a tenure reaches ahead
    Duration period = std::chrono::seconds(3); // between two extensions
    Duration window = std::chrono::minutes(10); // how long past tenures and keys are kept
};

// The chains of one stored value after an extension: each partition's tenure reaches to now plus
// the horizon and belongs to the holder wanted now. A tenure is never shortened; another holder's
// begins where the last one ends. Tenures that ended before the window are dropped.
std::map<std::uint32_t, TenureChain>
extendTenures(std::map<std::uint32_t, TenureChain> chains, std::uint32_t value,
              const std::function<KeyHolder(std::uint32_t partition)> &holderOf, WallTime now,
              const TenureTimings &timings);

// The chains of one stored value after a process has handed its tenures to those that `successor`
// names; partitions without one stay as they are.
std::map<std::uint32_t, TenureChain>
handOverTenures(std::map<std::uint32_t, TenureChain> chains, const KeyHolder &from,
                const std::function<KeyHolder(std::uint32_t partition)> &successor);

} // namespace fordwood

#endif // FORDWOOD_TENURE_HPP_INCLUDED
