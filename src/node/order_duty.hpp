// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_ORDER_DUTY_HPP_INCLUDED
#define FORDWOOD_NODE_ORDER_DUTY_HPP_INCLUDED

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
#include "node/store_link.hpp"

namespace fordwood::node {

// Orders engines to load weights while this node holds the lock for it: carries out what FencedLock
// and WeightRollout decide.
class OrderDuty
{
public:
    OrderDuty(const Clock &clock, HttpClient &caller, StoreLink &store, std::string node,
              const std::string &owner, FencedLock::Limits limits);

    FencedLock &lock() { return m_lock; }
    WeightRollout &rollout() { return m_rollout; }
    const WeightRollout &rollout() const { return m_rollout; }

    void tick(const UpstreamLoadTracker &loads);

    // When this node sent its last order; nothing: it has sent none.
    const std::optional<TimePoint> &lastOrder() const { return m_lastOrder; }

    // Gives the lock up, at a planned stop.
    void release();

    static std::string lockKey();

private:
    void carryOut(const LockAction &action);
    void carryOut(const RolloutAction &action);
    void grant(const GrantLease &action);
    void take(const AcquireLock &action);
    void keep(const RenewLease &action);
    void ask(const FetchReport &action);
    void order(const OrderWeights &action);
    void noteHolding();
    void noteBehind();

    const Clock &m_clock;
    HttpClient &m_caller;
    StoreLink &m_store;
    const std::string m_node;
    FencedLock m_lock;
    WeightRollout m_rollout;
    std::optional<TimePoint> m_lastOrder;
    std::int64_t m_loggedFence = 0; // zero: not held, as logged last
    TimePoint m_nextBehind{};
    std::map<std::string, OutdatedEngine> m_loggedBehind;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_ORDER_DUTY_HPP_INCLUDED
