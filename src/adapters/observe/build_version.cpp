// SPDX-License-Identifier: MIT
#include "adapters/observe/build_version.hpp"

#include "build_version_text.hpp" // written by the build

namespace fordwood::adapters {

std::string buildVersion()
{
    return FORDWOOD_BUILD_VERSION;
}

} // namespace fordwood::adapters
