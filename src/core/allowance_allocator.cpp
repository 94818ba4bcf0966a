// SPDX-License-Identifier: MIT
#include "fordwood/allowance_allocator.hpp"

#include <algorithm>
#include <limits>

namespace fordwood {

void AllowanceAllocator::setPools(const std::map<std::string, std::size_t> &pools)
{
    std::erase_if(m_pools, [&](const auto &it) { return pools.count(it.first) == 0; });
    for (const auto &[team, size] : pools) {
        const auto [it, isNew] = m_pools.try_emplace(team);
        it->second.size = size;
        if (isNew)
            it->second.closedUntil = m_clock.now() + m_limits.life;
    }
}

Allowance AllowanceAllocator::allocate(const AllowanceRequest &request)
{
    const auto known = m_pools.find(request.team);
    if (known == m_pools.end())
        return {0, m_limits.life};
    Pool &pool = known->second;
    Holder &holder = pool.holders[request.holder];
    pool.committed -= committedTo(holder);
    dropExpired(holder);
    holder.used = request.used;
    holder.wanted = request.wanted;
    // A request that gets nothing is remembered for the same time, because it reduces the shares of
    // the others.
    holder.grants.push_back({0, m_clock.now() + m_limits.life});
    pool.committed += committedTo(holder);
    if (pool.holders.size() <= m_limits.alwaysSweepUpTo || m_clock.now() >= pool.nextSweep)
        sweep(pool);
    const std::size_t others = pool.committed - committedTo(holder);
    const std::size_t free = pool.size - std::min(pool.size, others);
    const bool isClosed = m_clock.now() < pool.closedUntil;
    const std::size_t amount = isClosed ? 0 : std::min({request.wanted, free, pool.shareLimit});
    holder.grants.back().amount = amount;
    pool.committed = others + committedTo(holder);
    return {amount, m_limits.life};
}

std::size_t AllowanceAllocator::granted(const std::string &team) const
{
    const auto known = m_pools.find(team);
    if (known == m_pools.end())
        return 0;
    Pool pool = known->second;
    std::size_t sum = 0;
    for (auto &[id, it] : pool.holders) {
        dropExpired(it);
        sum += largestGrant(it);
    }
    return sum;
}

// Drops expired grants, and recomputes the committed sum and the equal share.
void AllowanceAllocator::sweep(Pool &pool) const
{
    pool.nextSweep = m_clock.now() + m_limits.sweepEvery;
    pool.shareLimit = equalShare(pool);
    pool.committed = 0;
    for (auto &[id, holder] : pool.holders) {
        dropExpired(holder);
        pool.committed += committedTo(holder);
    }
    std::erase_if(pool.holders,
                  [](const auto &it) { return it.second.grants.empty() && it.second.wanted == 0; });
}

void AllowanceAllocator::dropExpired(Holder &holder) const
{
    const TimePoint now = m_clock.now();
    std::erase_if(holder.grants, [&](const Grant &it) { return it.until <= now; });
    if (holder.grants.empty()) {
        holder.used = 0;
        holder.wanted = 0;
    }
}

std::size_t AllowanceAllocator::committedTo(const Holder &holder)
{
    return std::max(largestGrant(holder), holder.used);
}

std::size_t AllowanceAllocator::largestGrant(const Holder &holder)
{
    std::size_t most = 0;
    for (const Grant &it : holder.grants)
        most = std::max(most, it.amount);
    return most;
}

// The share of each holder if the pool is divided equally and the unwanted part of a share goes to
// the others.
std::size_t AllowanceAllocator::equalShare(const Pool &pool)
{
    std::vector<std::size_t> demands;
    for (const auto &[id, it] : pool.holders)
        demands.push_back(it.wanted);
    std::sort(demands.begin(), demands.end());
    std::size_t left = pool.size;
    for (std::size_t it = 0; it < demands.size(); ++it) {
        const std::size_t sharers = demands.size() - it;
        const std::size_t share = (left + sharers - 1) / sharers;
        if (demands[it] > left / sharers)
            return share;
        left -= demands[it];
    }
    return std::numeric_limits<std::size_t>::max();
}

} // namespace fordwood
