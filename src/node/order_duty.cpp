// SPDX-License-Identifier: MIT
#include "node/order_duty.hpp"

#include "adapters/observe/event_log.hpp"
#include "platform/engine_calls.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

// An engine answers a report or an order within milliseconds, or is in trouble.
constexpr Duration kReportPatience = std::chrono::milliseconds(700);
constexpr Duration kOrderPatience = std::chrono::milliseconds(500);

// How often the engines with old weights are looked at for the log.
constexpr Duration kBehindEvery = std::chrono::milliseconds(200);

std::string_view nameOf(RolloutWait wait)
{
    switch (wait) {
    case RolloutWait::QuietTime:
        return "quiet-time";
    case RolloutWait::Turn:
        return "turn";
    case RolloutWait::Report:
        return "report";
    case RolloutWait::Silent:
        return "silent";
    case RolloutWait::Pause:
        return "pause";
    case RolloutWait::Drain:
        return "drain";
    case RolloutWait::Answer:
        return "answer";
    case RolloutWait::Load:
        return "load";
    }
    return "turn";
}

void logBehind(const std::string &instanceId, const OutdatedEngine &engine,
               std::string_view waitsFor)
{
    logEvent(Event::EngineBehind, {{"upstream", instanceId},
                                   {"model", engine.model},
                                   {"weights", engine.version},
                                   {"newest", engine.target},
                                   {"waits_for", std::string(waitsFor)}});
}

std::string_view nameOf(OrderResult result)
{
    switch (result) {
    case OrderResult::Accepted:
        return "accepted";
    case OrderResult::AlreadyDone:
        return "already-done";
    case OrderResult::Conflict:
        return "conflict";
    case OrderResult::Fenced:
        return "fenced";
    case OrderResult::Refused:
        return "refused";
    case OrderResult::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

OrderDuty::OrderDuty(const Clock &clock, HttpClient &caller, StoreLink &store, std::string node,
                     const std::string &owner, FencedLock::Limits limits)
    : m_clock(clock), m_caller(caller), m_store(store), m_node(std::move(node)),
      m_lock(lockKey(), owner, clock, limits), m_rollout(clock)
{ }

std::string OrderDuty::lockKey()
{
    return "fordwood/weights-lock";
}

void OrderDuty::tick(const UpstreamLoadTracker &loads)
{
    m_lock.storeRestored(m_store.epoch());
    for (const LockAction &it : m_lock.tick())
        carryOut(it);
    noteHolding();
    for (const RolloutAction &it : m_rollout.tick(m_lock.holding(), loads))
        carryOut(it);
    if (m_rollout.takeFenceRefused())
        m_lock.fenceRefused();
    noteBehind();
}

void OrderDuty::release()
{
    m_lock.release();
    for (const LockAction &it : m_lock.tick())
        carryOut(it);
    noteHolding();
}

void OrderDuty::noteHolding()
{
    const auto holding = m_lock.holding();
    const std::int64_t fence = holding ? holding->fence : 0;
    if (fence == m_loggedFence)
        return;
    if (fence != 0)
        logEvent(Event::OrderLockTaken, {{"fence", fence}});
    else
        logEvent(Event::OrderLockLost, {{"fence", m_loggedFence}});
    m_loggedFence = fence;
}

// The holder alone tells, and only what has changed.
void OrderDuty::noteBehind()
{
    const auto holding = m_lock.holding();
    if (!holding)
        m_loggedBehind.clear();
    if (!holding || m_clock.now() < m_nextBehind)
        return;
    m_nextBehind = m_clock.now() + kBehindEvery;
    auto behind = m_rollout.outdatedEngines(*holding);
    for (const auto &[id, engine] : behind) {
        const auto known = m_loggedBehind.find(id);
        if (known == m_loggedBehind.end() || known->second != engine)
            logBehind(id, engine, nameOf(engine.waitsFor));
    }
    for (const auto &[id, engine] : m_loggedBehind) {
        if (!behind.contains(id))
            logBehind(id, engine, "nothing");
    }
    m_loggedBehind = std::move(behind);
}

void OrderDuty::carryOut(const LockAction &action)
{
    if (const auto *granting = std::get_if<GrantLease>(&action))
        grant(*granting);
    else if (const auto *taking = std::get_if<AcquireLock>(&action))
        take(*taking);
    else if (const auto *keeping = std::get_if<RenewLease>(&action))
        keep(*keeping);
    else if (const auto *ending = std::get_if<RevokeLease>(&action))
        m_store.send(platform::revokeCall(ending->lease), [](const HttpResult &) {
            // A lease that is not ended runs out by itself.
        });
}

void OrderDuty::grant(const GrantLease &action)
{
    const TimePoint asked = m_clock.now();
    m_store.send(platform::grantCall(action.ttl), [this, asked](const HttpResult &result) {
        const auto granted = platform::readGrant(result);
        m_lock.storeRestored(m_store.epoch());
        if (granted)
            m_lock.leaseGranted(granted->lease.id, granted->ttl, asked);
        else
            m_lock.leaseNotGranted();
        for (const LockAction &it : m_lock.tick())
            carryOut(it);
    });
}

void OrderDuty::take(const AcquireLock &action)
{
    m_store.send(platform::putCall(action.key, action.value, action.lease, true),
                 [this](const HttpResult &result) {
                     const auto answer = platform::readPut(result);
                     m_lock.storeRestored(m_store.epoch());
                     m_lock.acquireAnswered(answer.result, answer.revision);
                 });
}

void OrderDuty::keep(const RenewLease &action)
{
    const TimePoint asked = m_clock.now();
    m_store.send(platform::renewCall(action.lease), [this, asked](const HttpResult &result) {
        const auto kept = platform::readRenewal(result);
        m_lock.storeRestored(m_store.epoch());
        if (kept && *kept)
            m_lock.leaseRenewed(**kept, asked);
        else
            m_lock.leaseNotRenewed(kept.has_value());
    });
}

void OrderDuty::carryOut(const RolloutAction &action)
{
    if (const auto *asking = std::get_if<FetchReport>(&action))
        ask(*asking);
    else if (const auto *ordering = std::get_if<OrderWeights>(&action))
        order(*ordering);
}

void OrderDuty::ask(const FetchReport &action)
{
    m_caller.send(platform::reportCall(action), kReportPatience,
                  [this, id = action.instanceId](const HttpResult &result) {
                      m_rollout.reportReceived(id, platform::readReport(result));
                  });
}

void OrderDuty::order(const OrderWeights &action)
{
    // The lease is looked at once more at the last moment: a process that was frozen between the
    // decision and the send must not act on a lease that is over.
    if (!m_lock.holding()) {
        m_rollout.orderAnswered(action.instanceId, OrderResult::Refused);
        return;
    }
    logEvent(Event::WeightsOrdered, {{"upstream", action.instanceId},
                                     {"model", action.model},
                                     {"weights", action.version},
                                     {"fence", action.fence},
                                     {"orders_taken", action.ordersTaken}});
    m_lastOrder = m_clock.now();
    m_caller.send(platform::orderCall(action, m_node), kOrderPatience,
                  [this, id = action.instanceId](const HttpResult &result) {
                      const OrderResult answer = platform::readOrder(result);
                      logEvent(Event::OrderAnswered, {{"upstream", id},
                                                      {"answer", std::string(nameOf(answer))},
                                                      {"status", result ? result->status : 0}});
                      m_rollout.orderAnswered(id, answer);
                  });
}

} // namespace fordwood::node
