// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_PROCESS_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_PROCESS_HPP_INCLUDED

#include <sys/types.h>

#include <string>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood::process {

// What a process has used so far.
struct Usage
{
    Duration processorTime{0};
    std::size_t residentBytes = 0;
};

// A program started by a test or a bench. Killed when the object goes, if it still runs.
class Process
{
public:
    Process() = default;
    Process(const std::vector<std::string> &command, const std::string &logFile);
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;
    ~Process();

    bool started() const { return m_pid > 0; }

    // Sends a signal.
    void signal(int number) const;

    // Waits for the end and gives the exit code, or minus the signal that ended it.
    int wait();

    // Asks for a planned stop and waits for it.
    int terminate();

    // Ends it at once, as a VM failure does.
    void kill();

    Usage usage() const;

private:
    pid_t m_pid = -1;
};

// The path of one of our programs: in `folder`, or in the folders of FORDWOOD_BUILDS (separated by
// colons) in turn, each call for a program taking the next. So a fleet mixes two builds.
std::string programPath(const std::string &folder, const std::string &name);

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_PROCESS_HPP_INCLUDED
