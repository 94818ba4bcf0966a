// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CALL_COUNTS_HPP_INCLUDED
#define FORDWOOD_NODE_CALL_COUNTS_HPP_INCLUDED

#include <cstdint>

namespace fordwood::node {

// The requests that a node has begun to handle. They are counted as they begin and end, apart from
// the lines of the log, so that one without an end is noticed.
struct CallCounts
{
    std::uint64_t begun = 0;
    std::uint64_t ended = 0;
    std::uint64_t dropped = 0; // whose handler was destroyed before their end

    std::uint64_t open() const { return begun - ended - dropped; }
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CALL_COUNTS_HPP_INCLUDED
