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

// Receives the results of the weight loader. Called on its thread.
class WeightLoadListener
{
public:
    virtual ~WeightLoadListener() = default;
    virtual void onEnginePaused(const std::string &upstream, bool isPaused) = 0;
};

// Executes the decisions of the weight load planner on one thread: reads the state of the owned
// engines, acquires load slots in the platform, and orders engines to load. Every call blocks and
// has a timeout.
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

    // Sets the weights that the owned engines must serve.
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
    WeightLoadPlanner m_planner; // used only on the loader's thread
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::optional<Plan> m_newPlan; // not yet applied by the thread
    bool m_stopping = false;
};

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CONTROLD_WEIGHT_LOADER_HPP_INCLUDED
