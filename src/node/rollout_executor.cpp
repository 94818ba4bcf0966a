// SPDX-License-Identifier: MIT
#include "node/rollout_executor.hpp"

#include "adapters/observe/event_log.hpp"
#include "platform/engine_calls.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

// An engine that takes longer than milliseconds to answer a report or an order is in trouble.
constexpr Duration kReportTimeout = std::chrono::milliseconds(700);
constexpr Duration kOrderTimeout = std::chrono::milliseconds(500);

// How often engines with outdated weights are checked for the log.
constexpr Duration kOutdatedLogInterval = std::chrono::milliseconds(200);

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

void logOutdatedEngine(const std::string &instanceId, const OutdatedEngine &engine,
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

RolloutExecutor::RolloutExecutor(const Clock &clock, HttpClient &client, StoreClient &store,
                                 std::string node, const std::string &owner,
                                 FencedLock::Limits limits)
    : m_clock(clock), m_client(client), m_store(store), m_node(std::move(node)),
      m_lock(lockKey(), owner, clock, limits), m_rollout(clock)
{ }

std::string RolloutExecutor::lockKey()
{
    return "fordwood/weights-lock";
}

void RolloutExecutor::tick(const UpstreamLoadTracker &loads)
{
    m_lock.storeRestored(m_store.epoch());
    for (const LockAction &it : m_lock.tick())
        execute(it);
    logLockChange();
    for (const RolloutAction &it : m_rollout.tick(m_lock.holding(), loads))
        execute(it);
    if (m_rollout.takeFenceRefused())
        m_lock.fenceRefused();
    logOutdatedEngines();
}

void RolloutExecutor::release()
{
    m_lock.release();
    for (const LockAction &it : m_lock.tick())
        execute(it);
    logLockChange();
}

void RolloutExecutor::logLockChange()
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

// Only the lock holder logs, and only changes.
void RolloutExecutor::logOutdatedEngines()
{
    const auto holding = m_lock.holding();
    if (!holding)
        m_loggedOutdated.clear();
    if (!holding || m_clock.now() < m_nextOutdatedLog)
        return;
    m_nextOutdatedLog = m_clock.now() + kOutdatedLogInterval;
    auto outdated = m_rollout.outdatedEngines(*holding);
    for (const auto &[id, engine] : outdated) {
        const auto logged = m_loggedOutdated.find(id);
        if (logged == m_loggedOutdated.end() || logged->second != engine)
            logOutdatedEngine(id, engine, nameOf(engine.waitsFor));
    }
    for (const auto &[id, engine] : m_loggedOutdated) {
        if (!outdated.contains(id))
            logOutdatedEngine(id, engine, "nothing");
    }
    m_loggedOutdated = std::move(outdated);
}

void RolloutExecutor::execute(const LockAction &action)
{
    if (const auto *grantAction = std::get_if<GrantLease>(&action))
        grantLease(*grantAction);
    else if (const auto *acquireAction = std::get_if<AcquireLock>(&action))
        acquireLock(*acquireAction);
    else if (const auto *renewAction = std::get_if<RenewLease>(&action))
        renewLease(*renewAction);
    else if (const auto *revokeAction = std::get_if<RevokeLease>(&action))
        m_store.send(platform::revokeCall(revokeAction->lease), [](const HttpResult &) {
            // A lease that could not be revoked expires by itself.
        });
}

void RolloutExecutor::grantLease(const GrantLease &action)
{
    const TimePoint sentAt = m_clock.now();
    m_store.send(platform::grantCall(action.ttl), [this, sentAt](const HttpResult &result) {
        const auto granted = platform::readGrant(result);
        m_lock.storeRestored(m_store.epoch());
        if (granted)
            m_lock.leaseGranted(granted->lease.id, granted->ttl, sentAt);
        else
            m_lock.leaseNotGranted();
        for (const LockAction &it : m_lock.tick())
            execute(it);
    });
}

void RolloutExecutor::acquireLock(const AcquireLock &action)
{
    m_store.send(platform::putCall(action.key, action.value, action.lease, true),
                 [this](const HttpResult &result) {
                     const auto answer = platform::readPut(result);
                     m_lock.storeRestored(m_store.epoch());
                     m_lock.acquireAnswered(answer.result, answer.revision);
                 });
}

void RolloutExecutor::renewLease(const RenewLease &action)
{
    const TimePoint sentAt = m_clock.now();
    m_store.send(platform::renewCall(action.lease), [this, sentAt](const HttpResult &result) {
        const auto renewed = platform::readRenewal(result);
        m_lock.storeRestored(m_store.epoch());
        if (renewed && *renewed)
            m_lock.leaseRenewed(**renewed, sentAt);
        else
            m_lock.leaseNotRenewed(renewed.has_value());
    });
}

void RolloutExecutor::execute(const RolloutAction &action)
{
    if (const auto *fetchAction = std::get_if<FetchReport>(&action))
        fetchReport(*fetchAction);
    else if (const auto *orderAction = std::get_if<OrderWeights>(&action))
        sendOrder(*orderAction);
}

void RolloutExecutor::fetchReport(const FetchReport &action)
{
    m_client.send(platform::reportCall(action), kReportTimeout,
                  [this, id = action.instanceId](const HttpResult &result) {
                      m_rollout.reportReceived(id, platform::readReport(result));
                  });
}

void RolloutExecutor::sendOrder(const OrderWeights &action)
{
    // Checks the lease again just before the send: a process that was frozen between the decision
    // and the send must not act on an expired lease.
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
    m_client.send(platform::orderCall(action, m_node), kOrderTimeout,
                  [this, id = action.instanceId](const HttpResult &result) {
                      const OrderResult answer = platform::readOrder(result);
                      logEvent(Event::OrderAnswered, {{"upstream", id},
                                                      {"answer", std::string(nameOf(answer))},
                                                      {"status", result ? result->status : 0}});
                      m_rollout.orderAnswered(id, answer);
                  });
}

} // namespace fordwood::node
