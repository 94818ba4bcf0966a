// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_TIMED_UPSTREAM_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_TIMED_UPSTREAM_HPP_INCLUDED

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "process/stream_upstream.hpp"
#include "standins/blocking_server.hpp"

namespace fordwood::process {

// Stand-in for an upstream whose requests say how long they take: /ROUTE/MILLISECONDS/ID. On routes
// that begin with "/talk" or "/stream" the answer is a stream of an event each 100 ms.
class TimedUpstream
{
public:
    using RealClock = std::chrono::steady_clock;

    // How runs end that begin from now on: half way they break off, or nothing follows for longer
    // than callers wait.
    enum class Fault { None, BreakOff, Silence };

    static constexpr std::chrono::milliseconds kSilence{7'000};

    // One run of a request.
    struct Run
    {
        RealClock::time_point begin{};
        RealClock::time_point end = RealClock::time_point::max(); // still at work
        Fault fault = Fault::None;
        std::string path;
        std::string body;
    };

    TimedUpstream(const std::string &address, std::string instanceId)
        : m_instanceId(std::move(instanceId)),
          m_server(address, [this](const standins::Request &request) { return answer(request); })
    { }

    void setFault(Fault fault)
    {
        const std::lock_guard lock(m_mutex);
        m_fault = fault;
    }

    // The number of events of a stream of this length.
    static int eventsOf(std::chrono::milliseconds length)
    {
        return std::max(1, static_cast<int>(length / kEventInterval));
    }

    std::vector<Run> runs(const std::string &requestId)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_runs.find(requestId);
        return it == m_runs.end() ? std::vector<Run>{} : it->second;
    }

private:
    static constexpr std::chrono::milliseconds kEventInterval{100};

    // How long the request takes, from its path.
    static std::chrono::milliseconds lengthOf(const std::string &path)
    {
        const std::size_t from = path.find('/', 1) + 1;
        return std::chrono::milliseconds(std::stol(path.substr(from)));
    }

    std::size_t beginRun(const std::string &requestId, const standins::Request &request,
                         Fault &fault)
    {
        const std::lock_guard lock(m_mutex);
        fault = m_fault;
        m_runs[requestId].push_back(
            {RealClock::now(), RealClock::time_point::max(), fault, request.path, request.body});
        return m_runs[requestId].size() - 1;
    }

    void endRun(const std::string &requestId, std::size_t run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs[requestId][run].end = RealClock::now();
    }

    standins::Answer answer(const standins::Request &request)
    {
        standins::Answer result;
        const std::string id = request.header("Request-Id");
        result.headers["Request-Id"] = id;
        if (request.header("Expect-Instance") != m_instanceId) {
            result.status = 421;
            return result;
        }
        result.headers["Response-Seal"] = "sealed-by-" + m_instanceId;
        const std::chrono::milliseconds length = lengthOf(request.path);
        Fault fault = Fault::None;
        const std::size_t run = beginRun(id, request, fault);
        const std::chrono::milliseconds silence
            = fault == Fault::Silence ? kSilence : std::chrono::milliseconds(0);
        if (!request.path.starts_with("/talk") && !request.path.starts_with("/stream")) {
            std::this_thread::sleep_for(fault == Fault::None ? length : length / 2 + silence);
            endRun(id, run);
            result.body = "answer to " + id;
            result.cutConnection = fault != Fault::None;
            return result;
        }
        const std::string last = request.header("Last-Event-Id");
        const int first = last.empty() ? 1 : std::stoi(last) + 1;
        const int events = fault == Fault::None ? eventsOf(length) : eventsOf(length) / 2;
        result.contentType = "text/event-stream";
        result.cutAfterParts = fault != Fault::None;
        result.nextPart
            = [this, id, run, next = first, events, silence](bool isClientGone) mutable {
                  if (isClientGone || next > events) {
                      if (!isClientGone)
                          std::this_thread::sleep_for(silence);
                      endRun(id, run);
                      return std::string();
                  }
                  std::this_thread::sleep_for(kEventInterval);
                  return StreamUpstream::event(next++);
              };
        return result;
    }

    const std::string m_instanceId;
    std::mutex m_mutex;
    Fault m_fault = Fault::None;
    std::map<std::string, std::vector<Run>> m_runs; // by request id
    standins::BlockingServer m_server; // the last member: its threads use the others
};

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_TIMED_UPSTREAM_HPP_INCLUDED
