// SPDX-License-Identifier: MIT
#include "fordwood/store_keeper.hpp"

#include "fordwood/prompt.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// Parts named in one call: a few kilobytes.
constexpr std::size_t kMostPartsAtOnce = 256;

constexpr Duration kRetryPause = std::chrono::milliseconds(500);

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

void StoreKeeper::storeAnswered(const StoreNews &news)
{
    Store &store = m_stores[news.store];
    if (news.restated || news.epoch != store.epoch)
        store.parts.clear();
    store.epoch = news.epoch;
    store.answers = true;
    for (const StorePartChange &it : news.changes) {
        if (it.held)
            store.parts.emplace(it.salt, it.partId);
        else
            store.parts.erase({it.salt, it.partId});
    }
}

void StoreKeeper::storeSilent(const std::string &store)
{
    m_stores[store].answers = false;
}

bool StoreKeeper::isGarbage(const std::string &salt, const std::string &partId) const
{
    const auto parsed = parseSalt(salt);
    if (!parsed)
        return false;
    const auto history = m_weights.find(parsed->modelHash);
    if (history == m_weights.end())
        return false;
    const auto since = history->second.supersededSince(parsed->weightVersion);
    return since && m_clock.now() - *since >= OldContext::unusedAfter(partId);
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
        for (const auto &part : store.parts) {
            if (action.parts.size() < kMostPartsAtOnce && isGarbage(part.first, part.second))
                action.parts.push_back(part);
        }
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
    for (const auto &it : asked.parts)
        store.parts.erase(it);
}

} // namespace fordwood
