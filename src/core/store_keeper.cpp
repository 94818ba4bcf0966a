// SPDX-License-Identifier: MIT
#include "fordwood/store_keeper.hpp"

#include <algorithm>

#include "fordwood/prompt.hpp"

namespace fordwood {

namespace {

// Parts named in one call: a few kilobytes.
constexpr std::size_t kMostPartsAtOnce = 256;

constexpr Duration kRetryPause = std::chrono::milliseconds(500);

} // namespace

void StoreKeeper::weightsNamed(const std::string &model, std::uint64_t version)
{
    m_named[modelHashOfSalt(model)].try_emplace(version, m_clock.now());
}

std::uint64_t StoreKeeper::word(const std::string &model) const
{
    const auto named = m_named.find(modelHashOfSalt(model));
    if (named == m_named.end())
        return 0;
    std::uint64_t newest = 0;
    for (const auto &[version, since] : named->second) {
        if (m_clock.now() - since >= StoreLeases::kNotice)
            newest = std::max(newest, version);
    }
    return newest;
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

bool StoreKeeper::isGarbage(const std::string &salt, TimePoint heldSince) const
{
    const auto parsed = parseSalt(salt);
    if (!parsed)
        return false;
    const auto named = m_named.find(parsed->modelHash);
    if (named == m_named.end())
        return false;
    // Peers have been told of a newer version when any of those above it had its notice.
    for (const auto &[version, since] : named->second) {
        if (version <= parsed->weightVersion)
            continue;
        // A keeper before this one may have told peers of nothing newer until it lost the lock.
        const TimePoint told = std::max(since + StoreLeases::kNotice, heldSince);
        if (m_clock.now() - told >= StoreLeases::kWord + StoreLeases::kFetch + StoreLeases::kMargin)
            return true;
    }
    return false;
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
            if (action.parts.size() < kMostPartsAtOnce && isGarbage(part.first, holding->since))
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
