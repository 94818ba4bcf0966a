// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_EVEN_SHARE_HPP_INCLUDED
#define FORDWOOD_EVEN_SHARE_HPP_INCLUDED

#include <cstddef>

namespace fordwood {

// The share of `total` of the sharer with this rank, the first of which get one more if it cannot
// be divided evenly. Zero for a rank beyond the sharers.
inline std::size_t evenShare(std::size_t total, std::size_t sharers, std::size_t rank)
{
    if (rank >= sharers)
        return 0;
    return total / sharers + (rank < total % sharers ? 1 : 0);
}

} // namespace fordwood

#endif // FORDWOOD_EVEN_SHARE_HPP_INCLUDED
