// SPDX-License-Identifier: MIT
#include "node/context_watch.hpp"

#include <set>

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

// How long a store holds a call that has nothing to tell. Shorter than the time for which its word
// holds (ContextDirectory::Limits::storeAnswerLife), longer than what counts as a probe.
constexpr std::chrono::milliseconds kWait{900};
constexpr Duration kGrace = std::chrono::milliseconds(500); // beyond the wait

// Events that come together are read by one call.
constexpr Duration kBatchPause = std::chrono::milliseconds(120);

// A call that ends so much later than its time limit was not read in time.
constexpr Duration kLateRead = std::chrono::milliseconds(200);

constexpr Duration kRetryPause = std::chrono::milliseconds(400);

} // namespace

void ContextWatch::setStores(const std::vector<ContextStore> &stores)
{
    m_known = stores;
    if (m_follows)
        follow();
}

void ContextWatch::setFollowing(bool follows)
{
    if (follows == m_follows)
        return;
    m_follows = follows;
    if (m_follows)
        follow();
    else
        m_stores.clear(); // answers of calls under way are dropped
}

void ContextWatch::follow()
{
    std::set<std::string> names;
    for (const ContextStore &it : m_known) {
        names.insert(it.name);
        std::shared_ptr<Followed> &store = m_stores[it.name];
        const bool isNew = !store || store->config.address != it.address;
        if (isNew)
            store = std::make_shared<Followed>(m_context);
        store->config = it;
        if (isNew)
            poll(store, kWait);
    }
    std::erase_if(m_stores, [&](const auto &it) { return !names.contains(it.first); });
}

bool ContextWatch::isFollowed(const std::shared_ptr<Followed> &store) const
{
    const auto it = m_stores.find(store->config.name);
    return it != m_stores.end() && it->second == store;
}

void ContextWatch::pollAfter(const std::shared_ptr<Followed> &store, Duration pause)
{
    store->timer.expires_after(pause);
    store->timer.async_wait([this, store](const ErrorCode &ec) {
        if (!ec && isFollowed(store))
            poll(store, kWait);
    });
}

void ContextWatch::poll(const std::shared_ptr<Followed> &store, std::chrono::milliseconds wait)
{
    store->asked = m_clock.now();
    m_caller.send(platform::storeEventsCall(store->config, store->cursor, wait), wait + kGrace,
                  [this, store](const HttpResult &result) {
                      if (isFollowed(store))
                          takeEvents(store, result);
                  });
}

// What lay unread while this VM stood still says nothing of now.
bool ContextWatch::isReadLate(const Followed &store) const
{
    return m_clock.now() - store.asked > kWait + kGrace + kLateRead;
}

void ContextWatch::takeEvents(const std::shared_ptr<Followed> &store, const HttpResult &result)
{
    if (isReadLate(*store)) { // ask, and have the answer at once
        poll(store, std::chrono::milliseconds(0));
        return;
    }
    const auto events = platform::readStoreEvents(result, store->config.name);
    if (!events) {
        silent(store);
        return;
    }
    const bool isOtherEpoch
        = store->cursor.next != 0 && events->cursor.epoch != store->cursor.epoch;
    if (isOtherEpoch) {
        // It has lost everything; what it has told since its start is read from the beginning.
        store->cursor = {events->cursor.epoch, 0};
        silent(store);
        return;
    }
    if (events->isGap) {
        readList(store);
        return;
    }
    tell(store, *events);
}

void ContextWatch::readList(const std::shared_ptr<Followed> &store)
{
    store->asked = m_clock.now();
    m_caller.send(platform::storeListCall(store->config), kWait + kGrace,
                  [this, store](const HttpResult &result) {
                      if (isFollowed(store))
                          takeList(store, result);
                  });
}

void ContextWatch::takeList(const std::shared_ptr<Followed> &store, const HttpResult &result)
{
    // Parts in an old list may have been freed since, and would be fetched.
    if (isReadLate(*store)) {
        readList(store);
        return;
    }
    const auto list = platform::readStoreList(result, store->config.name);
    if (list)
        tell(store, *list);
    else
        silent(store);
}

void ContextWatch::tell(const std::shared_ptr<Followed> &store, const platform::StoreEvents &events)
{
    if (!store->answers)
        logEvent(Event::ContextStoreBack,
                 {{"store", store->config.name}, {"epoch", events.cursor.epoch}});
    store->answers = true;
    store->cursor = events.cursor;
    m_tell(ContextStoreTold{events.news, m_clock.now()});
    pollAfter(store, kBatchPause);
}

void ContextWatch::silent(const std::shared_ptr<Followed> &store)
{
    if (store->answers)
        logEvent(Event::ContextStoreLost,
                 {{"store", store->config.name}, {"epoch", store->cursor.epoch}});
    store->answers = false;
    m_tell(ContextStoreSilent{store->config.name});
    pollAfter(store, kRetryPause);
}

} // namespace fordwood::node
