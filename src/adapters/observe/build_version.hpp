// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_OBSERVE_BUILD_VERSION_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_OBSERVE_BUILD_VERSION_HPP_INCLUDED

#include <string>

namespace fordwood::adapters {

// The version and what it was built from, such as "0.1.0+g4152f00a1b": "g" and the commit, with
// ".changed" if the sources were changed since; or "s" and a digest of the sources where no commit
// was known.
std::string buildVersion();

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_OBSERVE_BUILD_VERSION_HPP_INCLUDED
