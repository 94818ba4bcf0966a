// SPDX-License-Identifier: MIT
// Stand-in for a plain service. Counts the runs for each X-Request-Id, to detect requests that ran
// twice.
//
// PUT /faults {"close_after_run": n, "delay_ms": n, "push_back": n, "fail": n}:
//   close_after_run: the next n requests run, and then their connection is closed without an answer
//   delay_ms: requests take this much longer
//   push_back: the next n requests are rejected without being run
//   fail: the next n requests run and are answered 503
// GET /runs: {"total", "distinct", "doubled": {id: runs}}
// Usage: standin-service ADDRESS
#include <iostream>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

#include "standins/blocking_server.hpp"

namespace {

using namespace fordwood::standins;
using Json = nlohmann::json;

class PlainService
{
public:
    Answer answer(const Request &request)
    {
        if (request.path == "/faults")
            return setFaults(request.body);
        if (request.path == "/runs")
            return runs();
        return run(request);
    }

private:
    Answer setFaults(const std::string &body)
    {
        const Json json = Json::parse(body, nullptr, false);
        if (!json.is_object())
            return {400, "text/plain", "expected an object\n", {}, {}, false, false};
        const std::lock_guard lock(m_mutex);
        m_closeAfterRun = json.value("close_after_run", m_closeAfterRun);
        m_delayMs = json.value("delay_ms", m_delayMs);
        m_pushBack = json.value("push_back", m_pushBack);
        m_fail = json.value("fail", m_fail);
        return {};
    }

    Answer runs()
    {
        const std::lock_guard lock(m_mutex);
        Json doubled = Json::object();
        std::int64_t total = 0;
        for (const auto &[id, n] : m_runs) {
            total += n;
            if (n > 1)
                doubled[id] = n;
        }
        Answer result;
        result.body
            = Json{{"total", total}, {"distinct", m_runs.size()}, {"doubled", doubled}}.dump();
        return result;
    }

    Answer run(const Request &request)
    {
        Answer result;
        int delayMs = 0;
        const std::string id = request.header("X-Request-Id");
        {
            const std::lock_guard lock(m_mutex);
            if (m_pushBack > 0) {
                --m_pushBack;
                result.status = 503;
                result.headers["X-Request-Not-Run"] = "true";
                return result;
            }
            ++m_runs[id];
            delayMs = m_delayMs;
            if (m_closeAfterRun > 0) {
                --m_closeAfterRun;
                result.cutConnection = true;
            } else if (m_fail > 0) {
                --m_fail;
                result.status = 503;
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(delayMs));
        result.body
            = Json{{"id", id}, {"team", request.header("X-Team")}, {"bytes", request.body.size()}}
                  .dump();
        return result;
    }

    std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_runs;
    int m_closeAfterRun = 0;
    int m_delayMs = 0;
    int m_pushBack = 0;
    int m_fail = 0;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: standin-service ADDRESS\n";
        return 2;
    }
    blockSignals();
    PlainService service;
    const BlockingServer http(argv[1],
                              [&](const Request &request) { return service.answer(request); });
    if (!http.listening()) {
        std::cerr << "standin-service: cannot listen on " << argv[1] << "\n";
        return 1;
    }
    waitForSignal();
    return 0;
}
