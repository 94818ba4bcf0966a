// SPDX-License-Identifier: MIT
#include "fordwood/context_store_log.hpp"

#include <algorithm>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

void ContextStoreLog::storeAnswered(const ContextStoreUpdate &update)
{
    Store &store = m_stores[update.store];
    if (update.isSnapshot || update.epoch != store.epoch) {
        store.parts.clear();
        store.recent.clear();
        store.recentChanges = 0;
        store.answered = TimePoint::min();
    }
    for (const StorePartChange &it : update.changes) {
        if (it.held)
            store.parts[{it.salt, it.partId}] = it.tokens;
        else
            store.parts.erase({it.salt, it.partId});
    }
    if (!update.isSnapshot && update.epoch == store.epoch)
        appendRecent(store, update);
    store.epoch = update.epoch;
    store.next = update.next;
    store.answers = true;
    // The update may come from a relay and be some time old; readers fetch from a store only for a
    // limited time after the store's own answer.
    store.answered = std::max(store.answered, m_clock.now() - update.age);
    store.clock = update.clock;
}

void ContextStoreLog::appendRecent(Store &store, const ContextStoreUpdate &update) const
{
    if (update.changes.empty())
        return;
    store.recent.push_back({store.next, update.changes});
    store.recentChanges += update.changes.size();
    while (store.recentChanges > m_limits.recentChanges) {
        store.recentChanges -= store.recent.front().changes.size();
        store.recent.pop_front();
    }
}

void ContextStoreLog::storeFailed(const std::string &store)
{
    m_stores[store].answers = false;
}

ContextStoreUpdate ContextStoreLog::updateFor(const std::string &name, const Store &store,
                                              const ContextStorePosition &position) const
{
    ContextStoreUpdate update;
    update.store = name;
    update.epoch = store.epoch;
    update.next = store.next;
    update.clock = store.clock;
    update.age
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - store.answered);
    const std::uint64_t oldest = store.recent.empty() ? store.next : store.recent.front().from;
    if (position.epoch != store.epoch || position.next < oldest) {
        update.isSnapshot = true;
        for (const auto &[part, tokens] : store.parts)
            update.changes.push_back({part.first, part.second, true, tokens});
        return update;
    }
    // A reader that followed another relay before may be in the middle of a batch, or ahead of this
    // node. Getting the same changes twice is harmless as long as they are in order.
    update.next = std::max(store.next, position.next);
    for (std::size_t n = 0; n < store.recent.size(); ++n) {
        const bool isLast = n + 1 == store.recent.size();
        const std::uint64_t end = isLast ? store.next : store.recent[n + 1].from;
        if (end <= position.next)
            continue;
        const auto &changes = store.recent[n].changes;
        update.changes.insert(update.changes.end(), changes.begin(), changes.end());
    }
    return update;
}

std::vector<ContextStoreUpdate>
ContextStoreLog::updatesSince(const std::vector<ContextStorePosition> &positions) const
{
    std::vector<ContextStoreUpdate> updates;
    for (const auto &[name, store] : m_stores) {
        if (!store.answers)
            continue;
        const std::uint64_t hash = stableHash(name);
        const auto position
            = std::find_if(positions.begin(), positions.end(),
                           [&](const ContextStorePosition &it) { return it.store == hash; });
        updates.push_back(updateFor(
            name, store, position == positions.end() ? ContextStorePosition{} : *position));
    }
    return updates;
}

} // namespace fordwood
