// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_CONTROLD_LOAD_DUTY_HPP_INCLUDED
#define FORDWOOD_APPS_CONTROLD_LOAD_DUTY_HPP_INCLUDED

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "adapters/observe/metrics.hpp"
#include "adapters/platform/etcd_store.hpp"
#include "fordwood/weight_load_planner.hpp"

namespace fordwood::apps {

// What the control duty hears of the engines' weights. Called from the load duty's thread.
class LoadListener
{
public:
    virtual ~LoadListener() = default;
    virtual void engineHeld(const std::string &upstream, bool held) = 0;
};

// Carries out what the load planner decides, on one thread: looks at the owned engines, takes load
// slots in the platform, orders engines to load. Every call blocks, and each has a time limit.
class LoadDuty
{
public:
    struct Plan
    {
        std::vector<LoadTarget> targets;
        std::uint64_t configVersion = 0;
        std::size_t mostAtOnce = 1;
        std::size_t members = 1;
    };

    LoadDuty(const std::string &storeAddress, const std::string &node, std::uint64_t boot,
             const Clock &clock, LoadListener &listener, adapters::Metrics &metrics);
    ~LoadDuty();

    void start();
    void stop();

    // What the engines that this node owns must serve now.
    void setPlan(Plan plan);

private:
    void run();
    bool pause();
    void carryOut(const ReadEngine &action);
    void carryOut(const ReadLoadTable &action);
    void carryOut(const SwapLoadTable &action);
    void carryOut(const OrderLoad &action);
    void carryOut(const HoldEngine &action);

    adapters::EtcdStore m_store;
    const Clock &m_clock;
    LoadListener &m_listener;
    adapters::Metrics &m_metrics;
    WeightLoadPlanner m_planner; // of the duty's thread alone
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::optional<Plan> m_plan; // not yet taken by the thread
    bool m_stopping = false;
};

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CONTROLD_LOAD_DUTY_HPP_INCLUDED
