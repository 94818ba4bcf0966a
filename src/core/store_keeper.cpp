// SPDX-License-Identifier: MIT
#include "fordwood/store_keeper.hpp"

#include "fordwood/prompt.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// Parts named in one call: a few kilobytes.
constexpr std::size_t kMostPartsAtOnce = 256;

constexpr Duration kRetryPause = std::chrono::milliseconds(500);

void erasePart(std::map<std::string, std::set<std::string>> &parts, const std::string &salt,
               const std::string &id)
{
    const auto it = parts.find(salt);
    if (it == parts.end())
        return;
    it->second.erase(id);
    if (it->second.empty())
        parts.erase(it);
}

} // namespace

Duration OldContext::useOf(const std::string &partId)
{
    const auto spread = std::chrono::duration<double>(kLongestUse - kShortestUse);
    return kShortestUse
           + std::chrono::duration_cast<Duration>(spread * hashFraction(stableHash(partId)));
}

void StoreKeeper::setWeights(const std::string &model, const WeightHistory &history)
{
    m_weights[modelHashOfSalt(model)] = history;
}

void StoreKeeper::storeAnswered(const ContextStoreUpdate &news)
{
    Store &store = m_stores[news.store];
    if (news.isSnapshot || news.epoch != store.epoch)
        store.parts.clear();
    store.epoch = news.epoch;
    store.answers = true;
    for (const StorePartChange &it : news.changes) {
        if (it.held)
            store.parts[it.salt].insert(it.partId);
        else
            erasePart(store.parts, it.salt, it.partId);
    }
}

void StoreKeeper::storeSilent(const std::string &store)
{
    m_stores[store].answers = false;
}

std::optional<TimePoint> StoreKeeper::oldSince(const std::string &salt) const
{
    const auto parsed = parseSalt(salt);
    if (!parsed)
        return std::nullopt;
    const auto history = m_weights.find(parsed->modelHash);
    if (history == m_weights.end())
        return std::nullopt;
    const auto replaced = history->second.superseded(parsed->weightVersion);
    if (!replaced)
        return std::nullopt;
    // The latest moment: other nodes may know it better and fetch for so much longer.
    return replaced->latest;
}

// Looks at the parts of old weights only: turns come many times a second, and mostly nothing is
// old.
void StoreKeeper::addGarbage(const Store &store, FreeParts &action) const
{
    for (const auto &[salt, ids] : store.parts) {
        const auto since = oldSince(salt);
        if (!since)
            continue;
        for (const std::string &it : ids) {
            if (action.parts.size() >= kMostPartsAtOnce)
                return;
            if (m_clock.now() - *since >= OldContext::unusedAfter(it))
                action.parts.emplace_back(salt, it);
        }
    }
}

std::vector<FreeParts> StoreKeeper::tick(const std::optional<FencedLock::Holding> &holding)
{
    std::vector<FreeParts> actions;
    if (!holding || m_clock.now() >= holding->actUntil)
        return actions;
    for (auto &[name, store] : m_stores) {
        if (!store.answers || store.isAsked || m_clock.now() < store.notBefore)
            continue;
        FreeParts action{name, store.epoch, {}};
        addGarbage(store, action);
        if (action.parts.empty())
            continue;
        store.isAsked = true;
        actions.push_back(std::move(action));
    }
    return actions;
}

void StoreKeeper::freed(const FreeParts &asked, bool done)
{
    Store &store = m_stores[asked.store];
    store.isAsked = false;
    store.notBefore = m_clock.now() + kRetryPause;
    if (!done || store.epoch != asked.epoch)
        return;
    for (const auto &[salt, id] : asked.parts)
        erasePart(store.parts, salt, id);
}

} // namespace fordwood
