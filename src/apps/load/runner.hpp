// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_LOAD_RUNNER_HPP_INCLUDED
#define FORDWOOD_APPS_LOAD_RUNNER_HPP_INCLUDED

#include <vector>

#include "apps/load/outcome.hpp"
#include "apps/load/workload.hpp"

namespace fordwood::apps {

// Sends every planned request at its intended time, whether or not earlier ones were answered, and
// records the outcomes. Times are measured from the intended time, so that late sending is
// included. The requests are distributed round-robin over `threads` threads.
std::vector<RequestRecord> runPlan(const Workload &workload,
                                   const std::vector<PlannedRequest> &plan, unsigned threads);

// Reads the current counters of a workload's stand-in servers and entry nodes.
StandinCounts readStandins(const Workload &workload);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_LOAD_RUNNER_HPP_INCLUDED
