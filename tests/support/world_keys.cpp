// SPDX-License-Identifier: MIT
// The keepers and holders of tenures in a World, and the handover of keys at a planned stop.
#include "adapters/grpc/key_codec.hpp"
#include "fordwood/rendezvous.hpp"
#include "support/world.hpp"

namespace fordwood::support {

KeyHolder World::Holders::of(std::uint32_t partition) const
{
    const int at = keyHolderIndex(partition, hashes);
    return at < 0 ? KeyHolder{} : holders[static_cast<std::size_t>(at)];
}

World::Holders World::holdersSeenBy(int index, bool withItself) const
{
    Holders seen;
    const Replicator &replicator = fleet.replicator(index);
    for (const Member &it : replicator.members()) {
        const bool self = it.name == fleet.member(index).name;
        std::uint64_t boot = self ? fleet.boot(index) : replicator.bootOf(it.name);
        if (boot == 0 || (self && !withItself))
            continue;
        if (m_size.mutation == Mutation::ForgetsBoot)
            boot = 1;
        seen.holders.push_back({it.name, boot});
        seen.hashes.push_back(stableHash(it.name));
    }
    return seen;
}

void World::extendTenures(int index)
{
    Node &node = m_nodes[static_cast<std::size_t>(index)];
    const TenureTimings limits;
    if (!node.view || fleet.clock.now() < node.nextTenures)
        return;
    node.nextTenures = fleet.clock.now() + limits.period;
    const Holders seen = holdersSeenBy(index, !node.stopping);
    std::map<std::string, std::uint64_t> boots;
    for (const KeyHolder &it : seen.holders)
        boots[it.node] = it.boot;
    node.keys->setLiveMembers(boots);
    if (!fleet.canReachPlatform(index))
        return;
    for (std::uint32_t value = 0; value < kTenureValues; ++value) {
        const int keeper = tenureExtenderIndex(value, seen.hashes);
        if (keeper < 0
            || seen.holders[static_cast<std::size_t>(keeper)].node != fleet.member(index).name)
            continue;
        const auto stored = fleet.store.get(tenureKey(value), limits.period);
        if (!stored)
            continue;
        wire::TenureChains message;
        if (*stored)
            message.ParseFromString((*stored)->value);
        const auto chains = fordwood::extendTenures(
            adapters::fromWire(message), value,
            [&](std::uint32_t partition) { return seen.of(partition); }, fleet.clock.wallNow(),
            limits);
        const auto done = fleet.store.write({{tenureKey(value), *stored ? (*stored)->revision : 0,
                                              adapters::toWire(chains).SerializeAsString()}},
                                            limits.period);
        if (done && *done)
            tellChains(index, chains);
    }
}

void World::tellChains(int from, const std::map<std::uint32_t, TenureChain> &chains)
{
    for (const auto &it : chains) {
        const std::uint32_t partition = it.first;
        const TenureChain &chain = it.second;
        const int target = chain.empty() ? -1 : indexOf(chain.back().holder.node);
        if (target < 0 || !fleet.isAlive(target) || !fleet.canReach(from, target))
            continue;
        post(target, [partition, chain](Node &holder) { holder.keys->setChain(partition, chain); });
    }
}

// At a planned stop the successors get the keys first and then the tenures.
void World::handOverKeys(int index)
{
    const KeyHolder self{fleet.member(index).name, fleet.boot(index)};
    const HandedKeys handed = m_nodes[static_cast<std::size_t>(index)].keys->close();
    const Holders seen = holdersSeenBy(index, false);
    const auto successor = [&](std::uint32_t partition) {
        const KeyHolder to = seen.of(partition);
        const int target = indexOf(to.node);
        const bool there = target >= 0 && fleet.isAlive(target) && fleet.canReach(index, target)
                           && fleet.boot(target) == to.boot;
        return there ? to : KeyHolder{};
    };
    const auto successorIndex
        = [&](std::uint32_t partition) { return indexOf(seen.of(partition).node); };
    for (const auto &[target, keys] : groupBySuccessor(handed, successorIndex)) {
        if (target >= 0 && m_size.mutation != Mutation::HandsOverTenuresOnly)
            post(target, [keys = keys](Node &it) { it.keys->importKeys(keys); });
    }
    for (std::uint32_t value = 0; value < kTenureValues; ++value) {
        const auto stored = fleet.store.get(tenureKey(value), kHop);
        wire::TenureChains message;
        if (!fleet.canReachPlatform(index) || !stored || !*stored
            || !message.ParseFromString((*stored)->value))
            continue;
        const auto chains = handOverTenures(adapters::fromWire(message), self, successor);
        const auto done = fleet.store.write(
            {{tenureKey(value), (*stored)->revision, adapters::toWire(chains).SerializeAsString()}},
            kHop);
        if (done && *done)
            tellChains(index, chains);
    }
}

} // namespace fordwood::support
