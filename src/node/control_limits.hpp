// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CONTROL_LIMITS_HPP_INCLUDED
#define FORDWOOD_NODE_CONTROL_LIMITS_HPP_INCLUDED

#include <string>

#include "config/node_settings.hpp"
#include "fordwood/fenced_lock.hpp"
#include "fordwood/relay_role.hpp"
#include "fordwood/serving_config.hpp"

// Values that ControlLoop derives from the node's settings and from the configuration.
namespace fordwood::node {

// A change is sent to peers at once; this limits the rate when many changes follow each other.
inline constexpr Duration kMinGossipInterval = std::chrono::milliseconds(10);

// Returns an id for this process of the node, which differs after each restart. It identifies the
// process as a holder of the lock, among others.
std::string makeNodeInstanceId(const std::string &node);

FencedLock::Limits lockLimits(const config::OneProcessSettings &settings);

// The capacity of the VM for work on behalf of other nodes: the smaller of its link rate in Mbit/s
// and its processor capacity in hundredths of a core.
double vmStrength(const config::VmSettings &vm);

RelayRole::Limits relayRoleLimits(const config::OneProcessSettings &settings);

// The largest number of nodes at which every node sends to every other.
std::size_t directGossipLimit(const config::OneProcessSettings &settings);

// How many readers the context stores serve at once: the lowest limit of any store or, if none has
// one, of any engine; 0: not configured.
std::size_t maxContextReaders(const ServingConfig &config);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CONTROL_LIMITS_HPP_INCLUDED
