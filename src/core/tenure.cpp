// SPDX-License-Identifier: MIT
#include "fordwood/tenure.hpp"

#include <algorithm>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

std::string tenureKey(std::uint32_t value)
{
    return "/fordwood/tenures/" + std::to_string(value);
}

std::uint32_t keyPartition(const std::string &team, const std::string &key)
{
    return static_cast<std::uint32_t>(stableHash(key, stableHash(team)) % kKeyPartitions);
}

int keyHolderIndex(std::uint32_t partition, const std::vector<std::uint64_t> &nodeHashes)
{
    return rendezvousWinner(stableHash("partition/" + std::to_string(partition)), nodeHashes);
}

int tenureExtenderIndex(std::uint32_t value, const std::vector<std::uint64_t> &nodeHashes)
{
    return rendezvousWinner(stableHash("keeper/" + std::to_string(value)), nodeHashes);
}

std::map<std::uint32_t, TenureChain>
extendTenures(std::map<std::uint32_t, TenureChain> chains, std::uint32_t value,
              const std::function<KeyHolder(std::uint32_t partition)> &holderOf, WallTime now,
              const TenureTimings &timings)
{
    const auto toMilliseconds
        = [](Duration time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time); };
    const WallTime until = now + toMilliseconds(timings.horizon);
    const WallTime oldest = now - toMilliseconds(timings.window);
    for (std::uint32_t partition = value; partition < kKeyPartitions; partition += kTenureValues) {
        const KeyHolder holder = holderOf(partition);
        TenureChain &chain = chains[partition];
        std::erase_if(chain, [&](const Tenure &it) { return it.until <= oldest; });
        if (holder.node.empty())
            continue;
        if (!chain.empty() && chain.back().holder == holder) {
            chain.back().until = std::max(chain.back().until, until);
            continue;
        }
        const WallTime from
            = chain.empty() ? now - toMilliseconds(timings.horizon) : chain.back().until;
        if (from < until)
            chain.push_back({holder, from, until});
    }
    return chains;
}

std::map<std::uint32_t, TenureChain>
handOverTenures(std::map<std::uint32_t, TenureChain> chains, const KeyHolder &from,
                const std::function<KeyHolder(std::uint32_t partition)> &successor)
{
    for (auto &[partition, chain] : chains) {
        const KeyHolder to = successor(partition);
        if (to.node.empty())
            continue;
        for (Tenure &it : chain) {
            if (it.holder == from)
                it.holder = to;
        }
    }
    return chains;
}

} // namespace fordwood
