// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_OBSERVED_WEIGHTS_HPP_INCLUDED
#define FORDWOOD_OBSERVED_WEIGHTS_HPP_INCLUDED

#include <cstdint>

#include "fordwood/clock.hpp"

namespace fordwood {

// The weight version that an engine runs, as shown by its own answer.
struct ObservedWeights
{
    std::uint64_t version = 0;
    TimePoint seen{}; // no later than the time when the engine ran it
};

} // namespace fordwood

#endif // FORDWOOD_OBSERVED_WEIGHTS_HPP_INCLUDED
