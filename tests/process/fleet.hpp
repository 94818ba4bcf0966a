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

// How large a fleet of real processes is.
struct FleetSize
{
    int nodes = 3;
    int engines = 4;
    int domains = 3;
    int engineSlots = 8;
    std::vector<std::string> engineOptions{"token_ms=1"}; // for standin-engine
    std::string entrySettings; // further lines of [entry]
    bool refusesWhenFull = false; // engines are sent to without permits while they have places
    bool resumes = false; // engines go on with streams that broke elsewhere
    std::string example = {}; // of the folder examples/, instead of the standard configuration
};

// A fleet on one machine: stand-ins and entry VMs as processes on loopback addresses that no other
// fleet uses. Everything stops when the object goes.
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

    // Runs fordwoodctl and gives its exit code; what it printed is in `output`.
    int ctl(const std::vector<std::string> &arguments, std::string *output = nullptr);

    // Runs fordwood-load on a workload text and gives its exit code and JSON result.
    int load(const std::string &workload, std::string &result,
             const std::vector<std::string> &options = {});

    // Submits a configuration text; gives the exit code.
    int submit(const std::string &text, std::string *output = nullptr);

    // The standard configuration; `edit` may change the text before it is used.
    std::string configuration() const;

    // Publishes the VM list; the named VMs are shown as leaving.
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

    // The value of a metric of a node's entryd, summed over its labels that contain `label`.
    double metric(int node, const std::string &name, const std::string &label = "") const;

    std::vector<std::string> addresses(const std::function<std::string(int)> &of, int n) const;

    // Waits until the condition holds; false when it does not within a minute.
    static bool waitFor(const std::function<bool()> &condition);

    static std::string bearer(int team = 0);

    Process platform;
    Process service;
    Process store;
    std::vector<Process> engineProcesses;
    std::vector<Process> entryds;
    std::vector<Process> controlds;

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
