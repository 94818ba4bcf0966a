// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_ROLLOUT_EXECUTOR_HPP_INCLUDED
#define FORDWOOD_NODE_ROLLOUT_EXECUTOR_HPP_INCLUDED

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "fordwood/clock.hpp"
#include "fordwood/fenced_lock.hpp"
#include "fordwood/upstream_load_tracker.hpp"
#include "fordwood/weight_rollout.hpp"
#include "node/http_client.hpp"
#include "node/store_client.hpp"

namespace fordwood::node {

// Orders engines to load weights while this node holds the lock for that. Executes the actions that
// FencedLock and WeightRollout decide on.
class RolloutExecutor
{
public:
    RolloutExecutor(const Clock &clock, HttpClient &client, StoreClient &store, std::string node,
                    const std::string &owner, FencedLock::Limits limits);

    FencedLock &lock() { return m_lock; }
    WeightRollout &rollout() { return m_rollout; }
    const WeightRollout &rollout() const { return m_rollout; }

    void tick(const UpstreamLoadTracker &loads);

    // When this node sent its last order; nullopt if it has sent none.
    const std::optional<TimePoint> &lastOrder() const { return m_lastOrder; }

    // Releases the lock at a planned stop.
    void release();

    static std::string lockKey();

private:
    void execute(const LockAction &action);
    void execute(const RolloutAction &action);
    void grantLease(const GrantLease &action);
    void acquireLock(const AcquireLock &action);
    void renewLease(const RenewLease &action);
    void fetchReport(const FetchReport &action);
    void sendOrder(const OrderWeights &action);
    void logLockChange();
    void logOutdatedEngines();

    const Clock &m_clock;
    HttpClient &m_client;
    StoreClient &m_store;
    const std::string m_node;
    FencedLock m_lock;
    WeightRollout m_rollout;
    std::optional<TimePoint> m_lastOrder;
    std::int64_t m_loggedFence = 0; // fence of the last logged lock state; zero: not held
    TimePoint m_nextOutdatedLog{};
    std::map<std::string, OutdatedEngine> m_loggedOutdated;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_ROLLOUT_EXECUTOR_HPP_INCLUDED
