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
    long long base = -1; // version that the submission is based on; -1: any
    Duration timeout = std::chrono::seconds(10);
};

// Runs one verb and gives the exit code.
int runVerb(const CtlOptions &options, std::ostream &out, std::ostream &err);

// Exit codes beside 0 (done), 1 (failed) and 2 (wrong options or a text that was refused).
constexpr int kExitConflict = 3; // another submission came first
constexpr int kExitUnknown = 4; // the store did not say in time whether it took effect
constexpr int kExitDiffers = 5; // diff found differences

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CTL_COMMANDS_HPP_INCLUDED
