// SPDX-License-Identifier: MIT
#include "node/context_store_watcher.hpp"

#include <set>

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

// How long a store keeps a long poll open while it has no events. Shorter than the time for which
// its answer is valid (ContextDirectory::Limits::storeAnswerLife), longer than what counts as a
// probe.
constexpr std::chrono::milliseconds kPollWait{900};
constexpr Duration kResponseGrace = std::chrono::milliseconds(500); // added to the wait

// Pause before the next poll, so that one call reads several events.
constexpr Duration kBatchDelay = std::chrono::milliseconds(120);

// An answer that is handled this long after the call's time limit was not read in time.
constexpr Duration kMaxReadDelay = std::chrono::milliseconds(200);

constexpr Duration kRetryDelay = std::chrono::milliseconds(400);

} // namespace

void ContextStoreWatcher::setStores(const std::vector<ContextStore> &stores)
{
    m_configuredStores = stores;
    if (m_isEnabled)
        updateWatches();
}

void ContextStoreWatcher::setEnabled(bool isEnabled)
{
    if (isEnabled == m_isEnabled)
        return;
    m_isEnabled = isEnabled;
    if (m_isEnabled)
        updateWatches();
    else
        m_stores.clear(); // answers to pending calls are ignored
}

void ContextStoreWatcher::updateWatches()
{
    std::set<std::string> names;
    for (const ContextStore &it : m_configuredStores) {
        names.insert(it.name);
        std::shared_ptr<WatchedStore> &store = m_stores[it.name];
        const bool isNew = !store || store->config.address != it.address;
        if (isNew)
            store = std::make_shared<WatchedStore>(m_context);
        store->config = it;
        if (isNew)
            poll(store, kPollWait);
    }
    std::erase_if(m_stores, [&](const auto &it) { return !names.contains(it.first); });
}

bool ContextStoreWatcher::isWatched(const std::shared_ptr<WatchedStore> &store) const
{
    const auto it = m_stores.find(store->config.name);
    return it != m_stores.end() && it->second == store;
}

void ContextStoreWatcher::pollAfter(const std::shared_ptr<WatchedStore> &store, Duration delay)
{
    store->timer.start(delay, [this, store] {
        if (isWatched(store))
            poll(store, kPollWait);
    });
}

void ContextStoreWatcher::poll(const std::shared_ptr<WatchedStore> &store,
                               std::chrono::milliseconds wait)
{
    store->sentAt = m_clock.now();
    m_client.send(platform::storeEventsCall(store->config, store->cursor, wait),
                  wait + kResponseGrace, [this, store](const HttpResult &result) {
                      if (isWatched(store))
                          handleEvents(store, result);
                  });
}

// An answer that was left unread while this VM was suspended does not show the current state.
bool ContextStoreWatcher::isStale(const WatchedStore &store) const
{
    return m_clock.now() - store.sentAt > kPollWait + kResponseGrace + kMaxReadDelay;
}

void ContextStoreWatcher::handleEvents(const std::shared_ptr<WatchedStore> &store,
                                       const HttpResult &result)
{
    if (isStale(*store)) { // poll again without a wait, to get an answer at once
        poll(store, std::chrono::milliseconds(0));
        return;
    }
    const auto events = platform::readStoreEvents(result, store->config.name);
    if (!events) {
        reportUnreachable(store);
        return;
    }
    const bool hasNewEpoch = store->cursor.next != 0 && events->cursor.epoch != store->cursor.epoch;
    if (hasNewEpoch) {
        // The store has restarted empty. Its events since the restart are read from the first one.
        store->cursor = {events->cursor.epoch, 0};
        reportUnreachable(store);
        return;
    }
    if (events->hasGap) {
        requestList(store);
        return;
    }
    publish(store, *events);
}

void ContextStoreWatcher::requestList(const std::shared_ptr<WatchedStore> &store)
{
    store->sentAt = m_clock.now();
    m_client.send(platform::storeListCall(store->config), kPollWait + kResponseGrace,
                  [this, store](const HttpResult &result) {
                      if (isWatched(store))
                          handleList(store, result);
                  });
}

void ContextStoreWatcher::handleList(const std::shared_ptr<WatchedStore> &store,
                                     const HttpResult &result)
{
    // Parts in an old list may have been freed meanwhile, and requests would still try to fetch
    // them.
    if (isStale(*store)) {
        requestList(store);
        return;
    }
    const auto list = platform::readStoreList(result, store->config.name);
    if (list)
        publish(store, *list);
    else
        reportUnreachable(store);
}

void ContextStoreWatcher::publish(const std::shared_ptr<WatchedStore> &store,
                                  const platform::StoreEvents &events)
{
    if (!store->isReachable)
        logEvent(Event::ContextStoreBack,
                 {{"store", store->config.name}, {"epoch", events.cursor.epoch}});
    store->isReachable = true;
    store->cursor = events.cursor;
    m_publish(ContextStoreUpdated{events.update, m_clock.now()});
    pollAfter(store, kBatchDelay);
}

void ContextStoreWatcher::reportUnreachable(const std::shared_ptr<WatchedStore> &store)
{
    if (store->isReachable)
        logEvent(Event::ContextStoreLost,
                 {{"store", store->config.name}, {"epoch", store->cursor.epoch}});
    store->isReachable = false;
    m_publish(ContextStoreFailed{store->config.name});
    pollAfter(store, kRetryDelay);
}

} // namespace fordwood::node
