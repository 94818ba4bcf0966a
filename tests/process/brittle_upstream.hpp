// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_BRITTLE_UPSTREAM_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_BRITTLE_UPSTREAM_HPP_INCLUDED

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "standins/blocking_server.hpp"

namespace fordwood::process {

// Stand-in for an upstream of the platform with a few slots and some room for waiting requests. It
// rejects what has no room. While it is brittle and rejects too many requests within a second, it
// falls over: its connections break, and it is back after some time as another instance.
class BrittleUpstream
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
    BrittleUpstream(const std::string &address, const std::string &id, Traits traits,
                    OnChange started);
    ~BrittleUpstream();
    BrittleUpstream(const BrittleUpstream &) = delete;
    BrittleUpstream &operator=(const BrittleUpstream &) = delete;

    // Answers have this text in the field from now on; nullopt: no field, and it does not fall.
    void setBrittle(std::optional<std::string> rejectionsPerSecond);

    // So many requests may wait for a slot.
    void setWaitingRoom(std::size_t requests);

    int falls();
    int answered();
    int rejected();
    std::string instanceId();

private:
    standins::Answer answer(const standins::Request &request);
    standins::Answer reject();
    standins::Answer serve(std::unique_lock<std::mutex> &lock, standins::Answer answer);
    void recordRejection();
    void restartWhenDue();

    const std::string m_id;
    const Traits m_traits;
    OnChange m_onStart;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<std::string> m_brittle;
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

#endif // FORDWOOD_TESTS_PROCESS_BRITTLE_UPSTREAM_HPP_INCLUDED
