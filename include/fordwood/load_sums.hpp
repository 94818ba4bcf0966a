// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_LOAD_SUMS_HPP_INCLUDED
#define FORDWOOD_LOAD_SUMS_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/upstream_loads.hpp"

namespace fordwood {

// What one node, or all nodes of a part of the fleet, have sent to the upstreams.
struct LoadReport
{
    std::size_t nodes = 1; // that it speaks for
    UpstreamLoads loads;
    std::size_t shortContextTokens = 0; // see ShortPromptDemand
    std::vector<std::uint64_t> contextsSent; // see ContextDirectory::recentSends()

    LoadReport &operator+=(const LoadReport &other);
    bool operator==(const LoadReport &) const = default;
};

// The report less what `part`, which is in it, has said of loads. Contexts stay: to be told of
// one's own sends does no harm.
LoadReport withoutPart(LoadReport report, const LoadReport &part);

// What a relay knows of the load at the upstreams: the last report of each node of its failure
// domain and one sum for each other domain. Nodes hear the sum of all from their relays, so that
// what a node hears grows with the upstreams and not with the nodes: where hundreds of nodes tell
// each other, the messages take a weak VM's whole processor.
//
// The load pattern that it answers: many nodes with few requests each before shared upstreams. No
// node sees enough of the load by itself, and all need the same sum.
class LoadSums
{
public:
    // `life`: a report is dropped after it, since its node may be gone and its requests with it.
    explicit LoadSums(const Clock &clock, Duration life = std::chrono::seconds(1))
        : m_clock(clock), m_life(life)
    { }

    void setOwn(LoadReport report) { m_own = std::move(report); }
    const LoadReport &own() const { return m_own; }

    // The report `number` of a node of this failure domain.
    void setNode(const std::string &node, std::uint64_t number, LoadReport report);

    // The node has said that it leaves.
    void forgetNode(const std::string &node) { m_nodes.erase(node); }

    // The sum of another failure domain; both of its relays tell it, and the latest counts.
    void setDomain(const std::string &failureDomain, LoadReport report);

    // This node and the others of its failure domain.
    LoadReport ofDomain() const;

    // All but this node.
    LoadReport ofOthers() const;

    // The nodes of this failure domain that the sums count, with the numbers of their reports.
    std::map<std::string, std::uint64_t> numbers() const;

    // Nodes whose reports are kept, for the metrics.
    std::size_t keptNodes() const { return m_nodes.size(); }

private:
    struct Told
    {
        LoadReport report;
        std::uint64_t number = 0;
        TimePoint when{};
    };

    bool counts(const Told &told) const { return m_clock.now() - told.when <= m_life; }
    LoadReport sumOf(const std::map<std::string, Told> &told, LoadReport sum) const;

    const Clock &m_clock;
    const Duration m_life;
    LoadReport m_own;
    std::map<std::string, Told> m_nodes;
    std::map<std::string, Told> m_domains;
};

// The reports that a node has sent of late, by number, so that it can take its own part out of a
// sum: the sum holds the report that the relay had then, not the newest one.
class SentReports
{
public:
    // Returns the report's number; the first one is 1.
    std::uint64_t add(LoadReport report);

    // `sum` without this node's report of that number; nothing: the sum does not hold any.
    LoadReport withoutOwn(LoadReport sum, std::optional<std::uint64_t> number) const;

private:
    // Those of a second at the highest rate of urgent reports; older ones are in no sum any more.
    static constexpr std::size_t kMost = 100;

    std::uint64_t m_last = 0;
    std::deque<LoadReport> m_sent; // the newest at the back
};

} // namespace fordwood

#endif // FORDWOOD_LOAD_SUMS_HPP_INCLUDED
