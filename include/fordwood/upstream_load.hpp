// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_UPSTREAM_LOAD_HPP_INCLUDED
#define FORDWOOD_UPSTREAM_LOAD_HPP_INCLUDED

#include <cstddef>

namespace fordwood {

// Outstanding work at one upstream.
struct UpstreamLoad
{
    std::size_t running = 0; // requests sent and not ended
    std::size_t tokensToCompute = 0; // prompt tokens of requests not answered yet
    std::size_t tokensHeld = 0; // memory that the requests need, in tokens

    UpstreamLoad &operator+=(const UpstreamLoad &other);
    UpstreamLoad &operator-=(const UpstreamLoad &other); // not below zero
    bool operator==(const UpstreamLoad &) const = default;
};

} // namespace fordwood

#endif // FORDWOOD_UPSTREAM_LOAD_HPP_INCLUDED
