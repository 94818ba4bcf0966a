// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_SERVICE_CHOOSER_HPP_INCLUDED
#define FORDWOOD_SERVICE_CHOOSER_HPP_INCLUDED

#include <set>
#include <string>
#include <vector>

#include "fordwood/upstream_health.hpp"
#include "fordwood/upstream_load_tracker.hpp"
#include "fordwood/upstream_record.hpp"

namespace fordwood {

// Chooses the upstream of a plain service with the fewest running requests per slot, with a penalty
// for recent failures. Among equals it prefers one in this node's failure domain, then one selected
// by `salt`. Returns null if none may be used.
const UpstreamRecord *chooseUpstream(const std::vector<const UpstreamRecord *> &upstreams,
                                     const std::set<std::string> &tried,
                                     const std::string &ownFailureDomain, std::uint64_t salt,
                                     const UpstreamLoadTracker &loads,
                                     const UpstreamHealth &health);

} // namespace fordwood

#endif // FORDWOOD_SERVICE_CHOOSER_HPP_INCLUDED
