// SPDX-License-Identifier: MIT
#include "node/context_keeping.hpp"

#include "adapters/observe/event_log.hpp"
#include "platform/engine_calls.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

// A store answers within milliseconds, or is in trouble.
constexpr Duration kFreePatience = std::chrono::milliseconds(700);

} // namespace

ContextKeeping::ContextKeeping(net::io_context &context, HttpCaller &caller, const Clock &clock,
                               ContextRelayReader::Source source, Tell tell)
    : m_caller(caller), m_clock(clock), m_tell(std::move(tell)),
      m_watch(context, caller, clock, [this](FleetUpdate it) { take(std::move(it)); }),
      m_relayReader(context, caller, clock, std::move(source),
                    [this](FleetUpdate it) { take(std::move(it)); }),
      m_log(clock), m_keeper(clock)
{ }

void ContextKeeping::setFollowing(bool follows)
{
    m_watch.setFollowing(follows);
    m_relayReader.setReading(!follows);
}

void ContextKeeping::setStores(const std::vector<ContextStore> &stores)
{
    m_stores.clear();
    for (const ContextStore &it : stores)
        m_stores[it.name] = it;
    m_watch.setStores(stores);
    m_relayReader.setStores(stores);
}

void ContextKeeping::take(FleetUpdate update)
{
    if (const auto *told = std::get_if<ContextStoreTold>(&update)) {
        m_keeper.storeAnswered(told->news);
        m_log.storeAnswered(told->news);
        if (told->news.clock.count() > 0) {
            m_engineClock = told->news.clock;
            m_engineClockTold = m_clock.now() - told->news.age;
        }
    } else if (const auto *silent = std::get_if<ContextStoreSilent>(&update)) {
        m_keeper.storeFailed(silent->store);
        m_log.storeFailed(silent->store);
    }
    m_tell(std::move(update));
}

void ContextKeeping::tick(const std::optional<FencedLock::Holding> &holding)
{
    for (const FreePartsCall &it : m_keeper.tick(holding))
        free(it, *holding);
}

void ContextKeeping::free(const FreePartsCall &action, const FencedLock::Holding &holding)
{
    const auto store = m_stores.find(action.store);
    if (store == m_stores.end()) {
        m_keeper.freeAnswered(action, false);
        return;
    }
    // Not carried out after this node's lease, however late the call arrives.
    const auto until = m_engineClock
                       + std::chrono::duration_cast<std::chrono::milliseconds>(holding.actUntil
                                                                               - m_engineClockTold);
    m_caller.send(platform::freeCall(store->second.address, action, until), kFreePatience,
                  [this, action](const HttpResult &result) {
                      logEvent(Event::ContextFreed, {{"store", action.store},
                                                     {"epoch", action.epoch},
                                                     {"parts", action.parts.size()},
                                                     {"status", result ? result->status : 0}});
                      m_keeper.freeAnswered(action, platform::readFree(result));
                  });
}

} // namespace fordwood::node
