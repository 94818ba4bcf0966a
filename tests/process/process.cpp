// SPDX-License-Identifier: MIT
#include "process/process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <thread>
#include <tuple>
#include <utility>

namespace fordwood::process {

namespace {

// The exit code, or the negative number of the signal that ended the process.
int codeOf(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

// Opens another end of a pipe, whose flags are independent of those of the other ends.
int openEnd(int pipeEnd, int flags)
{
    return open(("/proc/self/fd/" + std::to_string(pipeEnd)).c_str(), flags | O_CLOEXEC);
}

} // namespace

Process::Process(const std::vector<std::string> &command, const std::string &logFile, int output)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &it : command)
        arguments.push_back(const_cast<char *>(it.c_str()));
    arguments.push_back(nullptr);
    // A signal before the program runs would be handled by the test's handlers.
    sigset_t all;
    sigset_t before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    m_pid = fork();
    if (m_pid != 0) {
        pthread_sigmask(SIG_SETMASK, &before, nullptr);
        return;
    }
    std::signal(SIGTERM, SIG_DFL);
    std::signal(SIGINT, SIG_DFL);
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    prctl(PR_SET_PDEATHSIG, SIGKILL); // no process outlives a crashed test
    const int log = open(logFile.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    dup2(output < 0 ? log : output, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
}

Process::Process(Process &&other) noexcept : m_pid(std::exchange(other.m_pid, -1)) { }

Process &Process::operator=(Process &&other) noexcept
{
    kill();
    m_pid = std::exchange(other.m_pid, -1);
    return *this;
}

Process::~Process()
{
    kill();
}

void Process::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

int Process::wait()
{
    if (m_pid <= 0)
        return -1;
    int status = 0;
    waitpid(std::exchange(m_pid, -1), &status, 0);
    return codeOf(status);
}

bool Process::waitFor(Duration timeout, int &code)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    int status = 0;
    while (waitpid(m_pid, &status, WNOHANG) == 0) {
        if (std::chrono::steady_clock::now() >= until)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    m_pid = -1;
    code = codeOf(status);
    return true;
}

int Process::terminate()
{
    signal(SIGTERM);
    return wait();
}

void Process::kill()
{
    signal(SIGKILL);
    wait();
}

std::size_t Process::descriptors() const
{
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(m_pid) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

Usage Process::usage() const
{
    Usage usage;
    std::ifstream stat("/proc/" + std::to_string(m_pid) + "/stat");
    std::string text;
    std::getline(stat, text);
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string field;
    long ticks = 0;
    // After the program name the file goes on with field 3, the state. Fields 14 and 15 are the
    // user time and the system time.
    for (int it = 3; it <= 15 && fields >> field; ++it)
        ticks += it >= 14 ? std::stol(field) : 0;
    usage.processorTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        static_cast<double>(ticks) / static_cast<double>(sysconf(_SC_CLK_TCK))));
    std::ifstream statm("/proc/" + std::to_string(m_pid) + "/statm");
    std::size_t pages = 0;
    statm >> pages >> pages;
    usage.residentBytes = pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    return usage;
}

OutputPipe::OutputPipe(Writes writes)
{
    int ends[2] = {-1, -1};
    std::ignore = pipe2(ends, O_CLOEXEC | (writes == Writes::FailWhenFull ? O_NONBLOCK : 0));
    m_writeEnd = ends[1];
    m_readEnd = openEnd(ends[0], O_RDONLY | O_NONBLOCK);
    close(ends[0]);
}

OutputPipe::~OutputPipe()
{
    close(m_writeEnd);
    if (m_readEnd >= 0)
        close(m_readEnd);
}

void OutputPipe::fill() const
{
    const int end = openEnd(m_writeEnd, O_WRONLY | O_NONBLOCK);
    while (::write(end, "\n", 1) == 1) { }
    close(end);
}

std::string OutputPipe::read() const
{
    std::string text;
    char buf[4'096];
    for (ssize_t n = 0; (n = ::read(m_readEnd, buf, sizeof buf)) > 0;)
        text.append(buf, static_cast<std::size_t>(n));
    return text;
}

void OutputPipe::closeReadEnd()
{
    close(std::exchange(m_readEnd, -1));
}

void OutputPipe::openReadEnd()
{
    m_readEnd = openEnd(m_writeEnd, O_RDONLY | O_NONBLOCK);
}

std::string programPath(const std::string &folder, const std::string &name)
{
    std::vector<std::string> folders;
    if (const char *builds = std::getenv("FORDWOOD_BUILDS")) {
        std::istringstream list(builds);
        for (std::string it; std::getline(list, it, ':');)
            folders.push_back(it);
    }
    if (folders.empty())
        return folder + "/" + name;
    static std::map<std::string, std::size_t> started;
    return folders[started[name]++ % folders.size()] + "/" + name;
}

} // namespace fordwood::process
