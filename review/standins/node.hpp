// SPDX-License-Identifier: MIT
// Starts fordwood-noded as the deploy file does, with settings like those of a small deployment.
#ifndef FORDWOOD_REVIEW_STANDINS_NODE_HPP_INCLUDED
#define FORDWOOD_REVIEW_STANDINS_NODE_HPP_INCLUDED

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <vector>

#include "store.hpp"

namespace review {

// A loopback network of its own, and a temporary folder.
class Place
{
public:
    Place()
    {
        std::random_device device;
        // Three digits each, so that addresses are of the same length in all runs.
        m_prefix = "127." + std::to_string(100 + device() % 100) + "."
                   + std::to_string(100 + device() % 100) + ".";
        std::string folder = "/tmp/fordwood-review-XXXXXX";
        m_folder = ::mkdtemp(folder.data()) == nullptr ? "" : folder;
    }
    ~Place() { std::system(("rm -rf '" + m_folder + "'").c_str()); }
    Place(const Place &) = delete;
    Place &operator=(const Place &) = delete;

    std::string host(int n) const { return m_prefix + std::to_string(n); }
    const std::string &folder() const { return m_folder; }

private:
    std::string m_prefix;
    std::string m_folder;
};

// One process of fordwood-noded. Killed when it goes out of scope.
class Node
{
public:
    Node(const Place &place, int number, std::string name, std::string store, bool checksFences)
        : m_name(std::move(name)), m_host(place.host(10 + number)),
          m_settings(place.folder() + "/" + m_name + ".toml"),
          m_log(place.folder() + "/" + m_name + ".log")
    {
        std::ofstream out(m_settings);
        out << "[node]\nname = \"" << m_name << "\"\nfailure_domain = \"hall-" << number
            << "\"\nregion = \"r\"\n\n[callers]\nlisten = \"" << m_host
            << ":8564\"\nready_listen = \"" << m_host << ":8563\"\n\n[peers]\nlisten = \"" << m_host
            << ":8566\"\ngossip_listen = \"" << m_host << ":7740\"\nmetrics_listen = \"" << m_host
            << ":7755\"\nplacement_listen = \"" << m_host << ":7755\"\nproxy_listen = \"" << m_host
            << ":7740\"\nseeds = [\"" << place.host(10) << ":8566\",\"" << place.host(11)
            << ":8566\",\"" << place.host(12) << ":8566\"]\n\n[store]\naddress = \"" << store
            << "\"\nleast_lease = \"1000ms\"\n\n[bounds]\nstop_within = \"8s\"\nretry_ratio = 0.2\n"
            << "retry_window = \"10s\"\nretry_slack = 58\norder_lease = \"3000ms\"\n"
            << "fences_checked = " << (checksFences ? "true" : "false")
            << "\nweights_within = \"10000ms\"\n\n[places]\nregions = "
            << "[\"hall-0=r\",\"hall-1=r\",\"hall-2=r\"]\n\n[vm]\nprocessor_share = 0.25\n"
            << "processor_speed = 1\nmemory_mb = 260\nlink_mbps = 1000.0\n";
    }
    ~Node()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
        }
    }
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    bool start()
    {
        m_pid = ::fork();
        if (m_pid != 0)
            return m_pid > 0;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, however that ends
        const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        const char *const kProgram = "target/src/fordwood-noded";
        ::execl(kProgram, kProgram, "--settings", m_settings.c_str(), nullptr);
        ::_exit(127);
    }

    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    // The status of a process that has ended by itself.
    std::optional<int> endStatus()
    {
        int status = 0;
        if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return std::nullopt;
        m_pid = -1;
        return status;
    }

    bool isReady() const
    {
        const int fd = connectTo(m_host + ":8563");
        if (fd < 0)
            return false;
        sendAll(fd, "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        const auto answer = MessageReader(fd).read(milliseconds(1'000));
        ::close(fd);
        return answer && answer->status() == 200;
    }

    bool waitUntilReady(milliseconds within) const
    {
        const auto until = SteadyClock::now() + within;
        while (!isReady()) {
            if (SteadyClock::now() > until)
                return false;
            std::this_thread::sleep_for(milliseconds(50));
        }
        return true;
    }

    std::string front() const { return m_host + ":8564"; }
    const std::string &name() const { return m_name; }
    const std::string &log() const { return m_log; }

private:
    std::string m_name;
    std::string m_host;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
};

inline std::string endText(int status)
{
    if (WIFSIGNALED(status))
        return "signal " + std::to_string(WTERMSIG(status));
    return "exit status " + std::to_string(WEXITSTATUS(status));
}

} // namespace review

#endif // FORDWOOD_REVIEW_STANDINS_NODE_HPP_INCLUDED
