// SPDX-License-Identifier: MIT
#include "node/context_store_manager.hpp"

#include <algorithm>
#include <utility>

#include "adapters/observe/event_log.hpp"
#include "fordwood/prompt.hpp"
#include "platform/engine_calls.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

// A working store answers within milliseconds.
constexpr Duration kFreeTimeout = std::chrono::milliseconds(700);

constexpr std::size_t kPartsPerLine = 32;

void logFreed(const FreePartsCall &call, const std::string &salt,
              const std::vector<std::string> &ids, unsigned status)
{
    std::string text;
    Duration minWait{};
    for (const std::string &it : ids) {
        text += (text.empty() ? "" : ",") + it;
        minWait = std::max(minWait, OldContextTimes::unusedAfter(it));
    }
    const auto parsed = parseSalt(salt);
    const auto supersededFor = call.supersededFor.find(salt);
    logEvent(Event::ContextFreed,
             {{"store", call.store},
              {"epoch", call.epoch},
              {"weights", parsed ? parsed->weightVersion : 0},
              {"superseded_ms", supersededFor != call.supersededFor.end() ? supersededFor->second
                                                                          : Duration::zero()},
              {"min_wait_ms", minWait},
              {"parts", ids.size()},
              {"ids", text},
              {"status", status}});
}

void logFreed(const FreePartsCall &call, unsigned status)
{
    std::map<std::string, std::vector<std::string>> bySalt;
    for (const auto &[salt, id] : call.parts) {
        std::vector<std::string> &ids = bySalt[salt];
        ids.push_back(id);
        if (ids.size() == kPartsPerLine)
            logFreed(call, salt, std::exchange(ids, {}), status);
    }
    for (const auto &[salt, ids] : bySalt) {
        if (!ids.empty())
            logFreed(call, salt, ids, status);
    }
}

} // namespace

ContextStoreManager::ContextStoreManager(net::io_context &context, HttpClient &client,
                                         const Clock &clock,
                                         ContextRelayReader::ChooseRelay chooseRelay,
                                         Publish publish)
    : m_client(client), m_clock(clock), m_publish(std::move(publish)),
      m_watcher(context, client, clock, [this](FleetUpdate it) { handle(std::move(it)); }),
      m_relayReader(context, client, clock, std::move(chooseRelay),
                    [this](FleetUpdate it) { handle(std::move(it)); }),
      m_log(clock), m_cleaner(clock)
{ }

void ContextStoreManager::setReadsStores(bool readsStores)
{
    m_watcher.setEnabled(readsStores);
    m_relayReader.setEnabled(!readsStores);
}

void ContextStoreManager::setStores(const std::vector<ContextStore> &stores)
{
    m_stores.clear();
    for (const ContextStore &it : stores)
        m_stores[it.name] = it;
    m_watcher.setStores(stores);
    m_relayReader.setStores(stores);
}

void ContextStoreManager::handle(FleetUpdate update)
{
    if (const auto *answer = std::get_if<ContextStoreUpdated>(&update)) {
        m_cleaner.storeAnswered(answer->update);
        m_log.storeAnswered(answer->update);
        if (answer->update.clock.count() > 0) {
            m_engineClock = answer->update.clock;
            m_engineClockReadAt = m_clock.now() - answer->update.age;
        }
    } else if (const auto *unreachable = std::get_if<ContextStoreFailed>(&update)) {
        m_cleaner.storeFailed(unreachable->store);
        m_log.storeFailed(unreachable->store);
    }
    m_publish(std::move(update));
}

void ContextStoreManager::tick(const std::optional<FencedLock::Holding> &holding)
{
    for (const FreePartsCall &it : m_cleaner.tick(holding))
        sendFree(it, *holding);
}

void ContextStoreManager::sendFree(const FreePartsCall &action, const FencedLock::Holding &holding)
{
    const auto store = m_stores.find(action.store);
    const bool hasClock = m_engineClock.count() > 0;
    if (store == m_stores.end() || !hasClock) { // without a clock the call has no time limit
        m_cleaner.freeAnswered(action, false);
        return;
    }
    // The store must not free parts after this node's lease has ended, however late the call
    // arrives.
    const auto until = m_engineClock
                       + std::chrono::duration_cast<std::chrono::milliseconds>(
                           holding.actUntil - m_engineClockReadAt);
    m_client.send(platform::freeCall(store->second.address, action, until), kFreeTimeout,
                  [this, action](const HttpResult &result) {
                      logFreed(action, result ? result->status : 0U);
                      m_cleaner.freeAnswered(action, platform::readFree(result));
                  });
}

} // namespace fordwood::node
