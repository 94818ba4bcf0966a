// SPDX-License-Identifier: MIT
#include "fordwood/load_sums.hpp"

#include <algorithm>
#include <utility>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

LoadReport &LoadReport::operator+=(const LoadReport &other)
{
    nodes += other.nodes;
    loads += other.loads;
    shortContextTokens += other.shortContextTokens;
    contextsSent.insert(contextsSent.end(), other.contextsSent.begin(), other.contextsSent.end());
    return *this;
}

LoadReport withoutPart(LoadReport report, const LoadReport &part)
{
    report.nodes -= std::min(report.nodes, part.nodes);
    report.shortContextTokens -= std::min(report.shortContextTokens, part.shortContextTokens);
    report.loads -= part.loads;
    return report;
}

void LoadSums::setNode(const std::string &node, std::uint64_t number, LoadReport report)
{
    // Replaced nodes get new names, so entries of nodes that are gone must be removed.
    if (!m_nodes.contains(node))
        std::erase_if(m_nodes, [this](const auto &it) { return !isCurrent(it.second); });
    m_nodes[node] = {std::move(report), number, m_clock.now()};
}

void LoadSums::setDomain(const std::string &failureDomain, LoadReport report)
{
    m_domains[failureDomain] = {std::move(report), 0, m_clock.now()};
}

LoadReport LoadSums::addCurrent(const std::map<std::string, ReceivedReport> &reports,
                                LoadReport sum) const
{
    for (const auto &[name, it] : reports) {
        if (isCurrent(it))
            sum += it.report;
    }
    return sum;
}

LoadReport LoadSums::domainSum() const
{
    return addCurrent(m_nodes, m_own);
}

LoadReport LoadSums::othersSum() const
{
    LoadReport none;
    none.nodes = 0;
    return addCurrent(m_domains, addCurrent(m_nodes, std::move(none)));
}

ReportNumbers LoadSums::reportNumbers() const
{
    ReportNumbers numbers;
    for (const auto &[name, it] : m_nodes) {
        if (isCurrent(it))
            numbers.emplace_back(stableHash(name), it.number);
    }
    return numbers;
}

std::optional<std::uint64_t> findReportNumber(const ReportNumbers &numbers, const std::string &node)
{
    const std::uint64_t hash = stableHash(node);
    const auto found = std::find_if(numbers.begin(), numbers.end(),
                                    [hash](const auto &it) { return it.first == hash; });
    return found == numbers.end() ? std::nullopt : std::optional(found->second);
}

std::uint64_t SentReports::add(LoadReport report)
{
    m_sent.push_back(std::move(report));
    if (m_sent.size() > kMaxReports)
        m_sent.pop_front();
    return ++m_lastNumber;
}

LoadReport SentReports::withoutOwn(LoadReport sum, std::optional<std::uint64_t> number) const
{
    if (!number || *number > m_lastNumber || m_lastNumber - *number >= m_sent.size())
        return sum;
    const std::size_t age = m_lastNumber - *number;
    return withoutPart(std::move(sum), m_sent[m_sent.size() - 1 - age]);
}

} // namespace fordwood
