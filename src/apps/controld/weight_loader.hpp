// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_CONTROLD_WEIGHT_LOADER_HPP_INCLUDED
#define FORDWOOD_APPS_CONTROLD_WEIGHT_LOADER_HPP_INCLUDED

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
class WeightLoadListener
{
public:
    virtual ~WeightLoadListener() = default;
    virtual void onEnginePaused(const std::string &upstream, bool isPaused) = 0;
};

// Carries out what the load planner decides, on one thread: looks at the owned engines, takes load
// slots in the platform, orders engines to load. Every call blocks, and each has a time limit.
class WeightLoader
{
public:
    struct Plan
    {
        std::vector<LoadTarget> targets;
        std::uint64_t configVersion = 0;
        std::size_t maxConcurrentLoads = 1;
        std::size_t members = 1;
    };

    WeightLoader(const std::string &storeAddress, const std::string &node, std::uint64_t boot,
                 const Clock &clock, WeightLoadListener &listener, adapters::Metrics &metrics);
    ~WeightLoader();

    void start();
    void stop();

    // What the engines that this node owns must serve now.
    void setPlan(Plan plan);

private:
    void run();
    bool waitForWork();
    void execute(const ReadEngine &action);
    void execute(const ReadLoadTable &action);
    void execute(const SwapLoadTable &action);
    void execute(const OrderLoad &action);
    void execute(const HoldEngine &action);

    adapters::EtcdStore m_store;
    const Clock &m_clock;
    WeightLoadListener &m_listener;
    adapters::Metrics &m_metrics;
    WeightLoadPlanner m_planner; // of the duty's thread alone
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::optional<Plan> m_newPlan; // not yet taken by the thread
    bool m_stopping = false;
};

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CONTROLD_WEIGHT_LOADER_HPP_INCLUDED
