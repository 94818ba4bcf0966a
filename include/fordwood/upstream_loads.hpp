// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_UPSTREAM_LOADS_HPP_INCLUDED
#define FORDWOOD_UPSTREAM_LOADS_HPP_INCLUDED

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fordwood/upstream_load.hpp"

namespace fordwood {

// The loads of upstreams as nodes report them to each other, sorted by the hash of the instance id.
// Two ids with the same hash would count as one upstream, which now and then leads to a worse
// choice. A table of 163 upstreams is read and added up in a few microseconds; a tree keyed by
// strings took a fifth of the control time on a weak VM.
class UpstreamLoads
{
public:
    struct Row
    {
        std::uint64_t upstream = 0; // hash of its instance id
        UpstreamLoad load;

        bool operator==(const Row &) const = default;
    };

    UpstreamLoads() = default;
    UpstreamLoads(std::initializer_list<std::pair<std::string, UpstreamLoad>> loads);
    explicit UpstreamLoads(const std::map<std::string, UpstreamLoad> &loads); // by instance id
    explicit UpstreamLoads(std::vector<Row> rows); // in any order, each upstream once

    static std::uint64_t keyOf(std::string_view instanceId);

    // Zero for an upstream that is not in the table.
    UpstreamLoad at(std::string_view instanceId) const { return at(keyOf(instanceId)); }
    UpstreamLoad at(std::uint64_t upstream) const;

    UpstreamLoads &operator+=(const UpstreamLoads &other);
    UpstreamLoads &operator-=(const UpstreamLoads &other); // upstreams without load are dropped

    const std::vector<Row> &rows() const { return m_rows; }
    bool isEmpty() const { return m_rows.empty(); }
    bool operator==(const UpstreamLoads &) const = default;

private:
    void sort();

    std::vector<Row> m_rows;
};

} // namespace fordwood

#endif // FORDWOOD_UPSTREAM_LOADS_HPP_INCLUDED
