// SPDX-License-Identifier: MIT
#include "fordwood/context_directory.hpp"

#include <algorithm>
#include <set>

#include "fordwood/old_context_times.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// A smaller context is recomputed faster than it is fetched from a store. The size of the whole
// context counts: an engine uses a part only if it has all parts before it, so that without a small
// first part the large one is fetched in vain. Saving such first parts as well reduced the shared
// tokens that are recomputed from 24 to 11 in 100 of all computed tokens (mean of nine test days of
// a deployment whose contexts begin with a part of 340 or 510 tokens).
constexpr std::size_t kMinContextToSave = 1'000;

// Share of a store's capacity to fill: what other nodes save at the same moment is not known yet.
constexpr double kMaxFillShare = 0.95;

std::string partName(const std::string &salt, const std::string &partId)
{
    return salt + "/" + partId;
}

// Identifies a send to an engine. Two sends with the same hash cost at most one recomputed context.
std::uint64_t sendHash(const std::string &instanceId, const std::string &salt,
                       std::uint64_t contextHash)
{
    return stableHash(salt, stableHash(instanceId, contextHash));
}

} // namespace

void ContextDirectory::setStores(const std::vector<ContextStore> &stores)
{
    std::set<std::string> names;
    for (const ContextStore &it : stores) {
        names.insert(it.name);
        Store &store = m_stores[it.name];
        if (store.config.address != it.address)
            forgetAll(store);
        store.config = it;
        store.hash = stableHash(it.name);
    }
    std::erase_if(m_stores, [&](const auto &it) { return !names.contains(it.first); });
}

void ContextDirectory::recordSend(const std::string &instanceId, const std::string &salt,
                                  std::uint64_t contextHash, std::size_t tokens,
                                  Duration computedAfter)
{
    const std::uint64_t send = sendHash(instanceId, salt, contextHash);
    remember(send, computedAfter);
    if (tokens >= m_limits.minAnnouncedTokens)
        m_toAnnounce.emplace_back(m_clock.now(), send);
    if (m_toAnnounce.size() > m_limits.maxAnnouncedSends)
        m_toAnnounce.pop_front();
}

void ContextDirectory::remember(std::uint64_t send, Duration computedAfter)
{
    if (m_sends.size() >= m_limits.maxSends) {
        const TimePoint oldest = m_clock.now() - m_limits.sendMemory;
        std::erase_if(m_sends, [&](const auto &it) { return it.second.last < oldest; });
    }
    if (m_sends.size() >= m_limits.maxSends)
        m_sends.clear();
    const TimePoint now = m_clock.now();
    const auto [it, isNew] = m_sends.try_emplace(send, Send{now, now + computedAfter});
    it->second.last = now;
    if (!isNew && computedAfter > Duration::zero())
        it->second.computedAt = now + computedAfter;
}

std::vector<std::uint64_t> ContextDirectory::recentSends()
{
    while (!m_toAnnounce.empty()
           && m_clock.now() - m_toAnnounce.front().first >= m_limits.announceTime)
        m_toAnnounce.pop_front();
    std::vector<std::uint64_t> sends;
    for (const auto &[when, send] : m_toAnnounce)
        sends.push_back(send);
    return sends;
}

void ContextDirectory::recordPeerSends(const std::vector<std::uint64_t> &sends)
{
    for (const std::uint64_t it : sends)
        remember(it, Duration::zero());
}

bool ContextDirectory::isContextAtEngine(const std::string &instanceId, const std::string &salt,
                                         std::uint64_t contextHash, Duration keptFor) const
{
    const auto it = m_sends.find(sendHash(instanceId, salt, contextHash));
    return it != m_sends.end() && m_clock.now() - it->second.last < keptFor;
}

std::vector<const UpstreamRecord *>
ContextDirectory::engineSources(const std::vector<const UpstreamRecord *> &engines,
                                const std::string &salt, std::uint64_t contextHash,
                                std::size_t tokens, Duration keptFor) const
{
    if (tokens < m_limits.minAnnouncedTokens)
        return {};
    const TimePoint now = m_clock.now();
    std::vector<std::pair<TimePoint, const UpstreamRecord *>> found;
    for (const UpstreamRecord *engine : engines) {
        const auto it = m_sends.find(sendHash(engine->instanceId, salt, contextHash));
        if (it != m_sends.end() && now - it->second.last < keptFor && it->second.computedAt <= now)
            found.emplace_back(it->second.computedAt, engine);
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<const UpstreamRecord *> sources;
    sources.reserve(found.size());
    for (const auto &[computedAt, engine] : found)
        sources.push_back(engine);
    return sources;
}

bool ContextDirectory::isCurrent(const Store &store) const
{
    return store.answered != TimePoint::min()
           && m_clock.now() - store.answered < m_limits.storeAnswerLife;
}

// Parts of a managed store are freed, so each fetch needs a deadline on the engines' clock.
bool ContextDirectory::canBoundFetch(const Store &store)
{
    return !store.config.managed || store.hasClock;
}

bool ContextDirectory::hasCurrentStore() const
{
    return m_stores.empty()
           || std::any_of(m_stores.begin(), m_stores.end(),
                          [this](const auto &it) { return isCurrent(it.second); });
}

void ContextDirectory::forgetAll(Store &store)
{
    store.parts.clear();
    store.saves.clear();
    store.tokens = 0;
    store.tokensOfSaves = 0;
    store.answered = TimePoint::min();
}

void ContextDirectory::storeAnswered(const ContextStoreUpdate &update, Duration waited)
{
    const auto it = m_stores.find(update.store);
    if (it == m_stores.end())
        return;
    Store &store = it->second;
    if (update.isSnapshot || update.epoch != store.epoch)
        forgetAll(store);
    store.epoch = update.epoch;
    store.hasClock = store.hasClock || update.clock.count() > 0;
    store.answered = std::max(store.answered, m_clock.now() - waited - update.age);
    for (const StorePartChange &change : update.changes)
        apply(store, change);
}

void ContextDirectory::apply(Store &store, const StorePartChange &change)
{
    const std::string name = partName(change.salt, change.partId);
    endSave(store, name);
    const auto it = store.parts.find(name);
    if (it != store.parts.end()) {
        store.tokens -= it->second;
        store.parts.erase(it);
    }
    if (!change.held)
        return;
    store.parts[name] = change.tokens;
    store.tokens += change.tokens;
}

void ContextDirectory::endSave(Store &store, const std::string &name)
{
    const auto it = store.saves.find(name);
    if (it == store.saves.end())
        return;
    store.tokensOfSaves -= it->second.tokens;
    store.saves.erase(it);
}

void ContextDirectory::setWeights(const std::string &model, const WeightHistory &history)
{
    m_weights[modelHashOfSalt(model)] = history;
}

std::optional<Duration> ContextDirectory::replicaAge() const
{
    if (!m_replicaCompleteAsOf)
        return std::nullopt;
    return m_clock.now() - *m_replicaCompleteAsOf;
}

// Whether a part with the salt will certainly be kept while a fetch that starts now runs and, if
// newer weights are known, also one that starts `ahead` from now.
bool ContextDirectory::willBeKept(const std::string &salt, const std::string &partId,
                                  Duration ahead) const
{
    const auto parsed = parseSalt(salt);
    if (!parsed)
        return false;
    const auto history = m_weights.find(parsed->modelHash);
    const auto superseded = history != m_weights.end()
                                ? history->second.supersededAt(parsed->weightVersion)
                                : std::nullopt;
    const auto until = OldContextTimes::fetchUntil(partId, superseded, m_replicaCompleteAsOf);
    return until && m_clock.now() + (superseded ? ahead : Duration::zero()) < *until;
}

void ContextDirectory::storeFailed(const std::string &store)
{
    const auto it = m_stores.find(store);
    if (it != m_stores.end())
        it->second.answered = TimePoint::min();
}

ContextDirectory::Holder ContextDirectory::holderOf(const std::string &salt,
                                                    const std::string &partId) const
{
    if (!willBeKept(salt, partId, Duration::zero()))
        return {};
    const std::string name = partName(salt, partId);
    for (const auto &[key, store] : m_stores) {
        if (isCurrent(store) && canBoundFetch(store) && store.parts.contains(name))
            return {store.config.address, store.config.failureDomain, store.config.linkMbps,
                    store.config.firstByteDelay};
    }
    return {};
}

void ContextDirectory::dropOldSaves(Store &store) const
{
    std::vector<std::string> lost;
    for (const auto &[name, save] : store.saves) {
        if (m_clock.now() - save.since >= m_limits.saveTimeout)
            lost.push_back(name);
    }
    for (const std::string &it : lost)
        endSave(store, it);
}

std::string ContextDirectory::storeForSave(const std::string &salt, const PromptPart &part,
                                           std::size_t contextTokens,
                                           const std::string &failureDomain)
{
    if (contextTokens < kMinContextToSave || !willBeKept(salt, part.id, m_limits.minUseTime)
        || !holderOf(salt, part.id).address.empty())
        return {};
    const std::string name = partName(salt, part.id);
    const std::uint64_t hash = stableHash(name);
    Store *best = nullptr;
    std::pair<bool, std::uint64_t> bestWeight; // links within a failure domain are twice as fast
    for (auto &[key, store] : m_stores) {
        dropOldSaves(store);
        if (store.saves.contains(name))
            return {};
        const auto room = static_cast<std::size_t>(
            kMaxFillShare * static_cast<double>(store.config.capacityTokens));
        if (!isCurrent(store) || store.tokens + store.tokensOfSaves + part.tokens > room)
            continue;
        const std::pair weight(store.config.failureDomain == failureDomain,
                               rendezvousWeight(hash, store.hash));
        if (best == nullptr || weight > bestWeight) {
            best = &store;
            bestWeight = weight;
        }
    }
    return best == nullptr ? std::string() : best->config.address;
}

void ContextDirectory::beginSave(const std::string &address, const std::string &salt,
                                 const PromptPart &part)
{
    for (auto &[key, store] : m_stores) {
        if (store.config.address != address)
            continue;
        const std::string name = partName(salt, part.id);
        endSave(store, name);
        store.saves[name] = Save{m_clock.now(), part.tokens};
        store.tokensOfSaves += part.tokens;
    }
}

} // namespace fordwood
