// SPDX-License-Identifier: MIT
#include "process/fragile_upstream.hpp"

#include <cstdlib>
#include <utility>

namespace fordwood::process {

using standins::Answer;
using standins::Request;
using SteadyClock = std::chrono::steady_clock;

FragileUpstream::FragileUpstream(const std::string &address, const std::string &id, Traits traits,
                                 OnChange started)
    : m_id(id), m_traits(traits), m_onStart(std::move(started)),
      m_restarter([this] { restartWhenDue(); }),
      m_server(std::make_unique<standins::BlockingServer>(
          address, [this](const Request &request) { return answer(request); }))
{ }

FragileUpstream::~FragileUpstream()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        m_changed.notify_all();
    }
    m_restarter.join();
    m_server.reset();
}

void FragileUpstream::setBrittle(std::optional<std::string> rejectionsPerSecond)
{
    const std::lock_guard lock(m_mutex);
    m_brittle = std::move(rejectionsPerSecond);
}

void FragileUpstream::setWaitingRoom(std::size_t requests)
{
    const std::lock_guard lock(m_mutex);
    m_room = requests;
}

void FragileUpstream::setFatalParts(std::set<std::string> parts)
{
    const std::lock_guard lock(m_mutex);
    m_fatalParts = std::move(parts);
}

bool FragileUpstream::hasRun(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    return m_runs.contains(requestId);
}

std::vector<SteadyClock::time_point> FragileUpstream::fatalRuns()
{
    const std::lock_guard lock(m_mutex);
    return m_fatalRuns;
}

void FragileUpstream::fall()
{
    const std::lock_guard lock(m_mutex);
    if (!m_downUntil)
        fallOver();
}

int FragileUpstream::falls()
{
    const std::lock_guard lock(m_mutex);
    return m_falls;
}

int FragileUpstream::answered()
{
    const std::lock_guard lock(m_mutex);
    return m_answered;
}

int FragileUpstream::rejected()
{
    const std::lock_guard lock(m_mutex);
    return m_rejected;
}

std::string FragileUpstream::instanceId()
{
    const std::lock_guard lock(m_mutex);
    return m_lives == 1 ? m_id : m_id + "." + std::to_string(m_lives);
}

void FragileUpstream::recordRejection()
{
    const auto now = SteadyClock::now();
    m_rejected += 1;
    m_rejections.push_back(now);
    while (now - m_rejections.front() > std::chrono::seconds(1))
        m_rejections.pop_front();
    if (!m_brittle
        || static_cast<double>(m_rejections.size()) <= std::strtod(m_brittle->c_str(), nullptr))
        return;
    fallOver();
}

void FragileUpstream::fallOver()
{
    m_falls += 1;
    m_lives += 1;
    m_running = 0;
    m_waiting = 0;
    m_rejections.clear();
    m_downUntil = SteadyClock::now() + m_traits.downTime;
    m_changed.notify_all();
}

void FragileUpstream::restartWhenDue()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_changed.wait_for(lock, std::chrono::milliseconds(20));
        if (!m_downUntil || SteadyClock::now() < *m_downUntil)
            continue;
        m_downUntil.reset();
        lock.unlock();
        m_onStart(instanceId());
        lock.lock();
    }
}

Answer FragileUpstream::answer(const Request &request)
{
    Answer result;
    result.headers["Request-Id"] = request.header("Request-Id");
    const std::string id = instanceId();
    std::unique_lock lock(m_mutex);
    if (m_downUntil) {
        result.cutConnection = true;
        return result;
    }
    result.headers["Instance-Id"] = id;
    if (request.header("Expect-Instance") != id) {
        result.status = 421;
        return result;
    }
    if (m_brittle)
        result.headers["Server-Brittle"] = *m_brittle;
    if (m_running >= m_traits.slots && m_waiting >= m_room) {
        recordRejection();
        result.status = 503;
        result.headers["Not-Executed"] = "1";
        return result;
    }
    return serve(lock, request, std::move(result));
}

// The last part of a prompt belongs to its request and is never fatal.
bool FragileUpstream::hasFatalPart(const Request &request) const
{
    const std::string prompt = request.header("Prompt-Prefix");
    for (std::size_t at = 0; at < prompt.size();) {
        const std::size_t comma = prompt.find(',', at);
        if (comma == std::string::npos)
            return false;
        if (m_fatalParts.contains(prompt.substr(at, prompt.find(':', at) - at)))
            return true;
        at = comma + 1;
    }
    return false;
}

Answer FragileUpstream::serve(std::unique_lock<std::mutex> &lock, const Request &request,
                              Answer answer)
{
    const bool isFatal = hasFatalPart(request);
    const int life = m_lives;
    const auto hasEnded = [&] { return m_lives != life || m_isStopping; };
    if (m_running >= m_traits.slots) {
        m_waiting += 1;
        m_changed.wait(lock, [&] { return hasEnded() || m_running < m_traits.slots; });
        if (!hasEnded())
            m_waiting -= 1;
    }
    if (!hasEnded()) {
        m_running += 1;
        m_runs.insert(request.header("Request-Id"));
        if (isFatal)
            m_fatalRuns.push_back(SteadyClock::now());
        m_changed.wait_for(lock, m_traits.work, hasEnded);
    }
    if (isFatal && !hasEnded())
        fallOver();
    if (hasEnded()) {
        answer.cutConnection = true;
        return answer;
    }
    m_running -= 1;
    m_answered += 1;
    m_changed.notify_all();
    answer.headers["Response-Seal"] = "sealed-by-" + m_id;
    answer.body = "answer";
    return answer;
}

} // namespace fordwood::process
