// SPDX-License-Identifier: MIT
#include "fordwood/upstream_loads.hpp"

#include <algorithm>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

UpstreamLoads::UpstreamLoads(std::initializer_list<std::pair<std::string, UpstreamLoad>> loads)
{
    m_rows.reserve(loads.size());
    for (const auto &[id, load] : loads)
        m_rows.push_back({keyOf(id), load});
    sort();
}

UpstreamLoads::UpstreamLoads(const std::map<std::string, UpstreamLoad> &loads)
{
    m_rows.reserve(loads.size());
    for (const auto &[id, load] : loads)
        m_rows.push_back({keyOf(id), load});
    sort();
}

UpstreamLoads::UpstreamLoads(std::vector<Row> rows) : m_rows(std::move(rows))
{
    sort();
}

void UpstreamLoads::sort()
{
    std::sort(m_rows.begin(), m_rows.end(),
              [](const Row &a, const Row &b) { return a.upstream < b.upstream; });
}

std::uint64_t UpstreamLoads::keyOf(std::string_view instanceId)
{
    return stableHash(instanceId);
}

UpstreamLoad UpstreamLoads::at(std::uint64_t upstream) const
{
    const auto it
        = std::lower_bound(m_rows.begin(), m_rows.end(), upstream,
                           [](const Row &row, std::uint64_t key) { return row.upstream < key; });
    return it != m_rows.end() && it->upstream == upstream ? it->load : UpstreamLoad{};
}

UpstreamLoads &UpstreamLoads::operator+=(const UpstreamLoads &other)
{
    std::vector<Row> sum;
    sum.reserve(m_rows.size() + other.m_rows.size());
    auto it = m_rows.begin();
    for (const Row &row : other.m_rows) {
        while (it != m_rows.end() && it->upstream < row.upstream)
            sum.push_back(*it++);
        sum.push_back(row);
        if (it != m_rows.end() && it->upstream == row.upstream)
            sum.back().load += (it++)->load;
    }
    sum.insert(sum.end(), it, m_rows.end());
    m_rows = std::move(sum);
    return *this;
}

UpstreamLoads &UpstreamLoads::operator-=(const UpstreamLoads &other)
{
    for (Row &it : m_rows)
        it.load -= other.at(it.upstream);
    std::erase_if(m_rows, [](const Row &it) { return it.load == UpstreamLoad{}; });
    return *this;
}

} // namespace fordwood
