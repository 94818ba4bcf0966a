// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_LOAD_SUMS_HPP_INCLUDED
#define FORDWOOD_LOAD_SUMS_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/upstream_loads.hpp"

namespace fordwood {

// The load that one node, or all nodes of a part of the fleet, put on the upstreams.
struct LoadReport
{
    std::size_t nodes = 1; // included in the report
    UpstreamLoads loads;
    std::size_t shortContextTokens = 0; // see ShortPromptDemand
    std::vector<std::uint64_t> contextsSent; // see ContextDirectory::recentSends()

    LoadReport &operator+=(const LoadReport &other);
    bool operator==(const LoadReport &) const = default;
};

// Numbers of the reports in a sum, each with the stable hash of its node's name, from which a node
// learns which of its own reports to subtract. With the names themselves, reading the lists would
// take much of a weak VM's processor time in a failure domain of 160 nodes.
using ReportNumbers = std::vector<std::pair<std::uint64_t, std::uint64_t>>;

// The number of the node's report; nothing: the sum includes none of its load.
std::optional<std::uint64_t> findReportNumber(const ReportNumbers &numbers,
                                              const std::string &node);

// Subtracts the load of `part`, which must be included in the report. Contexts are not removed: it
// does no harm when a node receives its own sends.
LoadReport withoutPart(LoadReport report, const LoadReport &part);

// A relay's view of the load on the upstreams: the last report of each node of its failure domain
// and one sum for each other domain. Relays send the total to the nodes, so the traffic that a node
// receives grows with the number of upstreams and not with the number of nodes. If hundreds of
// nodes sent their reports to each other, the messages would use the whole processor of a weak VM.
//
// This serves fleets of many nodes with few requests each and shared upstreams, where no node sees
// enough of the load by itself and all nodes need the same total.
class LoadSums
{
public:
    // Reports older than `lifetime` are ignored, since the node and its requests may be gone.
    explicit LoadSums(const Clock &clock, Duration lifetime = std::chrono::seconds(1))
        : m_clock(clock), m_lifetime(lifetime)
    { }

    void setOwn(LoadReport report) { m_own = std::move(report); }
    const LoadReport &own() const { return m_own; }

    // Stores report `number` of a node of this failure domain.
    void setNode(const std::string &node, std::uint64_t number, LoadReport report);

    // Removes a node that announced that it leaves.
    void removeNode(const std::string &node) { m_nodes.erase(node); }

    // Stores the sum of another failure domain. Both of its relays send it; the latest is used.
    void setDomain(const std::string &failureDomain, LoadReport report);

    // The sum of this node and the others of its failure domain.
    LoadReport domainSum() const;

    // The sum of all nodes except this one.
    LoadReport othersSum() const;

    // The report numbers of the nodes of this failure domain that the sums include.
    ReportNumbers reportNumbers() const;

    // Number of nodes with a stored report, for the metrics.
    std::size_t nodeCount() const { return m_nodes.size(); }

private:
    struct ReceivedReport
    {
        LoadReport report;
        std::uint64_t number = 0;
        TimePoint receivedAt{};
    };

    bool isCurrent(const ReceivedReport &report) const
    {
        return m_clock.now() - report.receivedAt <= m_lifetime;
    }
    LoadReport addCurrent(const std::map<std::string, ReceivedReport> &reports,
                          LoadReport sum) const;

    const Clock &m_clock;
    const Duration m_lifetime;
    LoadReport m_own;
    std::map<std::string, ReceivedReport> m_nodes;
    std::map<std::string, ReceivedReport> m_domains;
};

// The recently sent reports of a node, by number. The node uses them to subtract its own load from
// a relay's sum, which includes the report that the relay had at the time and not the newest one.
class SentReports
{
public:
    // Returns the report's number, starting at 1.
    std::uint64_t add(LoadReport report);

    // `sum` without this node's report of that number; no number: the sum does not include one.
    LoadReport withoutOwn(LoadReport sum, std::optional<std::uint64_t> number) const;

private:
    // One second's worth at the highest rate of urgent reports; older ones are in no sum.
    static constexpr std::size_t kMaxReports = 100;

    std::uint64_t m_lastNumber = 0;
    std::deque<LoadReport> m_sent; // the newest at the back
};

} // namespace fordwood

#endif // FORDWOOD_LOAD_SUMS_HPP_INCLUDED
