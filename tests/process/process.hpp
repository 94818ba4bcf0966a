// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_PROCESS_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_PROCESS_HPP_INCLUDED

#include <sys/types.h>

#include <string>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood::process {

// The resources that a process has used so far.
struct Usage
{
    Duration processorTime{0};
    std::size_t residentBytes = 0;
};

// A program started by a test or a benchmark. The destructor kills it if it is still running.
class Process
{
public:
    Process() = default;
    // `output`: a file descriptor for the program's standard output, or -1 for the log file.
    Process(const std::vector<std::string> &command, const std::string &logFile, int output = -1);
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;
    ~Process();

    bool started() const { return m_pid > 0; }

    void signal(int number) const;

    // Waits for the end and returns the exit code, or the negative number of the signal that ended
    // the process.
    int wait();

    // Waits for the end for up to `timeout`. Returns false if the process still runs then, else
    // sets `code` to what wait() would return.
    bool waitFor(Duration timeout, int &code);

    // Sends SIGTERM, which requests a planned stop, and waits for the end.
    int terminate();

    // Sends SIGKILL, as a model of a VM failure, and waits for the end.
    void kill();

    Usage usage() const;

    // The number of open file descriptors.
    std::size_t descriptors() const;

private:
    pid_t m_pid = -1;
};

// A pipe for the standard output of a program, which a test fills, reads and breaks as it likes.
class OutputPipe
{
public:
    enum class Writes { Block, FailWhenFull };

    explicit OutputPipe(Writes writes = Writes::Block);
    OutputPipe(const OutputPipe &) = delete;
    OutputPipe &operator=(const OutputPipe &) = delete;
    ~OutputPipe();

    // The descriptor to pass to Process.
    int writeEnd() const { return m_writeEnd; }

    // Fills the pipe with empty lines, so that the program's next write waits or fails.
    void fill() const;

    // Removes and returns what the pipe holds.
    std::string read() const;

    // Closes the read end: writes fail until it is opened again.
    void closeReadEnd();
    void openReadEnd();

private:
    int m_writeEnd = -1;
    int m_readEnd = -1;
};

// The path of a Fordwood program in `folder`. When the environment variable FORDWOOD_BUILDS lists
// folders, separated by colons, successive calls for a program use these in turn instead, so that a
// fleet mixes several builds.
std::string programPath(const std::string &folder, const std::string &name);

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_PROCESS_HPP_INCLUDED
