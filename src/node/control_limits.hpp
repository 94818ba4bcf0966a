// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CONTROL_LIMITS_HPP_INCLUDED
#define FORDWOOD_NODE_CONTROL_LIMITS_HPP_INCLUDED

#include <string>

#include "config/node_settings.hpp"
#include "fordwood/fenced_lock.hpp"
#include "fordwood/relay_role.hpp"
#include "fordwood/serving_config.hpp"

// What ControlLoop takes from the node's settings and from the configuration.
namespace fordwood::node {

// Names this life of the node as a holder of the lock.
std::string makeNodeLife(const std::string &node);

FencedLock::Limits lockLimits(const config::OneProcessSettings &settings);

// How strong the VM is for work that it does for others: a hundredth of a core counts as much as a
// Mbit/s, and what is scarcer counts.
double vmStrength(const config::VmSettings &vm);

RelayRole::Limits roleLimits(const config::OneProcessSettings &settings);

// Up to how many nodes each tells each other one.
std::size_t fleetOfEachTold(const config::OneProcessSettings &settings);

// How many readers the stores of kept context serve at once, by the strictest of them or, where
// none says, by what engines say; 0: not stated.
std::size_t mostContextReaders(const ServingConfig &config);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CONTROL_LIMITS_HPP_INCLUDED
