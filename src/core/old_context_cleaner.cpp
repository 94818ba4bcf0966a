// SPDX-License-Identifier: MIT
#include "fordwood/old_context_cleaner.hpp"

#include "fordwood/prompt.hpp"

namespace fordwood {

namespace {

// A few kilobytes in one call.
constexpr std::size_t kMaxPartsPerCall = 256;

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

void OldContextCleaner::setWeights(const std::string &model, const WeightHistory &history)
{
    m_weights[modelHashOfSalt(model)] = history;
}

void OldContextCleaner::storeAnswered(const ContextStoreUpdate &update)
{
    Store &store = m_stores[update.store];
    if (update.isSnapshot || update.epoch != store.epoch)
        store.parts.clear();
    store.epoch = update.epoch;
    store.answers = true;
    for (const StorePartChange &it : update.changes) {
        if (it.held)
            store.parts[it.salt].insert(it.partId);
        else
            erasePart(store.parts, it.salt, it.partId);
    }
}

void OldContextCleaner::storeFailed(const std::string &store)
{
    m_stores[store].answers = false;
}

std::optional<EventTime> OldContextCleaner::supersededAt(const std::string &salt) const
{
    const auto parsed = parseSalt(salt);
    if (!parsed)
        return std::nullopt;
    const auto history = m_weights.find(parsed->modelHash);
    if (history == m_weights.end())
        return std::nullopt;
    return history->second.supersededAt(parsed->weightVersion);
}

// Checks single parts only of old weights: tick() runs many times a second and usually no weights
// are old.
void OldContextCleaner::addUnusedParts(const Store &store, FreePartsCall &action) const
{
    for (const auto &[salt, ids] : store.parts) {
        const auto superseded = supersededAt(salt);
        if (!superseded)
            continue;
        for (const std::string &it : ids) {
            if (action.parts.size() >= kMaxPartsPerCall)
                return;
            if (m_clock.now() < OldContextTimes::freeFrom(it, *superseded))
                continue;
            action.parts.emplace_back(salt, it);
            action.supersededFor[salt] = m_clock.now() - superseded->latest;
        }
    }
}

std::vector<FreePartsCall>
OldContextCleaner::tick(const std::optional<FencedLock::Holding> &holding)
{
    std::vector<FreePartsCall> actions;
    if (!holding || m_clock.now() >= holding->actUntil)
        return actions;
    for (auto &[name, store] : m_stores) {
        if (!store.answers || store.isCallPending || m_clock.now() < store.retryAt)
            continue;
        FreePartsCall action{name, store.epoch, {}, {}};
        addUnusedParts(store, action);
        if (action.parts.empty())
            continue;
        store.isCallPending = true;
        actions.push_back(std::move(action));
    }
    return actions;
}

void OldContextCleaner::freeAnswered(const FreePartsCall &call, bool done)
{
    Store &store = m_stores[call.store];
    store.isCallPending = false;
    store.retryAt = m_clock.now() + kRetryPause;
    if (!done || store.epoch != call.epoch)
        return;
    for (const auto &[salt, id] : call.parts)
        erasePart(store.parts, salt, id);
}

} // namespace fordwood
