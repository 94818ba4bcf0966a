// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_FRAGILE_UPSTREAM_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_FRAGILE_UPSTREAM_HPP_INCLUDED

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "standins/blocking_server.hpp"

namespace fordwood::process {

// Stand-in for an upstream of the platform with a few slots and some room for waiting requests. It
// rejects what has no room. It falls over if it rejects too many requests within a second while it
// is brittle, or when it begins to answer a prompt with a fatal part: its connections break, and it
// is back after some time as another instance.
class FragileUpstream
{
public:
    struct Traits
    {
        std::size_t slots = 2;
        std::chrono::milliseconds work{100};
        std::chrono::milliseconds downTime{2'500};
    };
    // The id of the instance that ends or starts.
    using OnChange = std::function<void(const std::string &instanceId)>;

    // `started` is called for each further instance.
    FragileUpstream(const std::string &address, const std::string &id, Traits traits,
                    OnChange started);
    ~FragileUpstream();
    FragileUpstream(const FragileUpstream &) = delete;
    FragileUpstream &operator=(const FragileUpstream &) = delete;

    // Answers have this text in the field from now on; nullopt: no field, and it does not fall.
    void setBrittle(std::optional<std::string> rejectionsPerSecond);

    // So many requests may wait for a slot.
    void setWaitingRoom(std::size_t requests);

    // Prompts with one of these parts make it fall over.
    void setFatalParts(std::set<std::string> parts);

    // Whether it began to run the request.
    bool hasRun(const std::string &requestId);

    // When it began to run prompts with a fatal part.
    std::vector<std::chrono::steady_clock::time_point> fatalRuns();

    // It falls over now, for no reason that has to do with a request.
    void fall();

    int falls();
    int answered();
    int rejected();
    std::string instanceId();

private:
    standins::Answer answer(const standins::Request &request);
    standins::Answer reject();
    standins::Answer serve(std::unique_lock<std::mutex> &lock, const standins::Request &request,
                           standins::Answer answer);
    void recordRejection();
    void fallOver();
    bool hasFatalPart(const standins::Request &request) const;
    void restartWhenDue();

    const std::string m_id;
    const Traits m_traits;
    OnChange m_onStart;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::set<std::string> m_runs; // request ids
    std::optional<std::string> m_brittle;
    std::set<std::string> m_fatalParts;
    std::vector<std::chrono::steady_clock::time_point> m_fatalRuns;
    std::size_t m_room = 100;
    std::size_t m_running = 0;
    std::size_t m_waiting = 0;
    std::deque<std::chrono::steady_clock::time_point> m_rejections; // within the last second
    std::optional<std::chrono::steady_clock::time_point> m_downUntil;
    int m_lives = 1;
    int m_falls = 0;
    int m_answered = 0;
    int m_rejected = 0;
    bool m_isStopping = false;
    std::thread m_restarter;
    std::unique_ptr<standins::BlockingServer> m_server;
};

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_FRAGILE_UPSTREAM_HPP_INCLUDED
