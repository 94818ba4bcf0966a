// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_CTL_COMMANDS_HPP_INCLUDED
#define FORDWOOD_APPS_CTL_COMMANDS_HPP_INCLUDED

#include <iosfwd>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood::apps {

// The options of fordwoodctl, after parsing.
struct CtlOptions
{
    std::string verb;
    std::vector<std::string> arguments;
    bool json = false;
    std::string platform; // address of the key-value service
    std::vector<std::string> nodes; // addresses of controld, for status
    std::string submissionId;
    long long base = -1; // required active version; -1: any
    Duration timeout = std::chrono::seconds(10);
};

// Runs one verb and returns the exit code.
int runVerb(const CtlOptions &options, std::ostream &out, std::ostream &err);

// Exit codes in addition to 0 (done), 1 (failed) and 2 (wrong options or an invalid configuration).
constexpr int kExitConflict = 3; // another submission was accepted first
constexpr int kExitUnknown
    = 4; // the store did not confirm in time whether the submission took effect
constexpr int kExitDiffers = 5; // diff found differences

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CTL_COMMANDS_HPP_INCLUDED
