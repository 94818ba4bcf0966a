// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_FLEET_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_FLEET_HPP_INCLUDED

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "process/http.hpp"
#include "process/process.hpp"

namespace fordwood::process {

// The size and options of a fleet of real processes.
struct FleetSize
{
    int nodes = 3;
    int engines = 4;
    int domains = 3;
    int engineSlots = 8;
    std::vector<std::string> engineOptions{"token_ms=1"}; // for standin-engine
    std::string entrySettings; // further lines of the section [entry]
    bool refusesWhenFull = false; // engines with free slots get requests without permits
    bool resumes = false; // engines can resume streams that broke at another engine
    std::string example = {}; // in examples/; replaces the standard configuration
    std::string stopNotice = "100ms"; // of entryd
};

// A fleet on one machine: stand-ins and entry VMs run as processes on loopback addresses that no
// other fleet uses. The destructor stops all processes.
class Fleet
{
public:
    explicit Fleet(FleetSize size = {});
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    // Starts everything, submits the standard configuration and waits until every node serves it.
    void start();

    void startEntryd(int node);
    void startControld(int node);
    void startEngine(int engine);

    // Runs fordwoodctl and returns its exit code; `output` receives what it printed.
    int ctl(const std::vector<std::string> &arguments, std::string *output = nullptr);

    // Runs fordwood-load on a workload text and returns its exit code; `result` receives the JSON
    // result.
    int load(const std::string &workload, std::string &result,
             const std::vector<std::string> &options = {});

    // Submits a configuration text and returns the exit code of fordwoodctl.
    int submit(const std::string &text, std::string *output = nullptr);

    // The text of the configuration that start() submits.
    std::string configuration() const;

    // Publishes the VM list, with the named VMs in state "leaving".
    void publishVms(const std::vector<std::string> &leaving = {});

    std::string caller(int node) const; // http://IP:port
    std::string entryAddress(int node) const;
    std::string controlAddress(int node) const;
    std::string controlMetrics(int node) const;
    std::string engineAddress(int engine) const;
    std::string serviceAddress() const;
    std::string storeAddress() const;
    std::string platformAddress() const;
    std::string platformHttp() const;
    std::string failureDomain(int index) const;
    int nodes() const { return m_size.nodes; }
    int engines() const { return m_size.engines; }

    // The value of a metric of a node's entryd, summed over all series whose labels contain
    // `label`.
    double metric(int node, const std::string &name, const std::string &label = "") const;

    std::vector<std::string> addresses(const std::function<std::string(int)> &of, int n) const;

    // Waits until the condition is true; returns false when that takes more than a minute.
    static bool waitFor(const std::function<bool()> &condition);

    static std::string bearer(int team = 0);

    Process platform;
    Process service;
    Process store;
    std::vector<Process> engineProcesses;
    std::vector<Process> entryds;
    std::vector<Process> controlds;
    int entryOutput = -1; // of entryds that are started: standard output, if it is not the log file

    const std::string &folder() const { return m_folder; }

private:
    std::string exampleConfiguration() const;
    std::string prefillRate() const;
    std::string host(int number) const;
    std::string settingsFile(int node) const;
    void writeSettings(int node) const;
    std::string logFile(const std::string &name) const;

    FleetSize m_size;
    std::string m_network; // "127.a.b."
    int m_listRevision = 0;
    std::string m_folder;
};

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_FLEET_HPP_INCLUDED
