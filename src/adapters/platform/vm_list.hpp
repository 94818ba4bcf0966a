// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_PLATFORM_VM_LIST_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_PLATFORM_VM_LIST_HPP_INCLUDED

#include <optional>
#include <string>

#include "fordwood/vm_list.hpp"

namespace fordwood::adapters {

// Parses the JSON of the platform's VM list:
// {"revision": n, "vms": [{"name", "role": "entry" | "upstream" | "store", "failure_domain",
// "region",
//           "control_address", "state": "live" | "leaving"}]}
// Returns nothing if the text has another structure.
std::optional<VmList> parseVmList(const std::string &json);

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_PLATFORM_VM_LIST_HPP_INCLUDED
