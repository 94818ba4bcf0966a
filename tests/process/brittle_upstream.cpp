// SPDX-License-Identifier: MIT
#include "process/brittle_upstream.hpp"

#include <cstdlib>
#include <utility>

namespace fordwood::process {

using standins::Answer;
using standins::Request;
using SteadyClock = std::chrono::steady_clock;

BrittleUpstream::BrittleUpstream(const std::string &address, const std::string &id, Traits traits,
                                 OnChange started)
    : m_id(id), m_traits(traits), m_onStart(std::move(started)),
      m_restarter([this] { restartWhenDue(); }),
      m_server(std::make_unique<standins::BlockingServer>(
          address, [this](const Request &request) { return answer(request); }))
{ }

BrittleUpstream::~BrittleUpstream()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        m_changed.notify_all();
    }
    m_restarter.join();
    m_server.reset();
}

void BrittleUpstream::setBrittle(std::optional<std::string> rejectionsPerSecond)
{
    const std::lock_guard lock(m_mutex);
    m_brittle = std::move(rejectionsPerSecond);
}

void BrittleUpstream::setWaitingRoom(std::size_t requests)
{
    const std::lock_guard lock(m_mutex);
    m_room = requests;
}

int BrittleUpstream::falls()
{
    const std::lock_guard lock(m_mutex);
    return m_falls;
}

int BrittleUpstream::answered()
{
    const std::lock_guard lock(m_mutex);
    return m_answered;
}

int BrittleUpstream::rejected()
{
    const std::lock_guard lock(m_mutex);
    return m_rejected;
}

std::string BrittleUpstream::instanceId()
{
    const std::lock_guard lock(m_mutex);
    return m_lives == 1 ? m_id : m_id + "." + std::to_string(m_lives);
}

void BrittleUpstream::recordRejection()
{
    const auto now = SteadyClock::now();
    m_rejected += 1;
    m_rejections.push_back(now);
    while (now - m_rejections.front() > std::chrono::seconds(1))
        m_rejections.pop_front();
    if (!m_brittle
        || static_cast<double>(m_rejections.size()) <= std::strtod(m_brittle->c_str(), nullptr))
        return;
    m_falls += 1;
    m_lives += 1;
    m_running = 0;
    m_waiting = 0;
    m_rejections.clear();
    m_downUntil = now + m_traits.downTime;
    m_changed.notify_all();
}

void BrittleUpstream::restartWhenDue()
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

Answer BrittleUpstream::answer(const Request &request)
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
    return serve(lock, std::move(result));
}

Answer BrittleUpstream::serve(std::unique_lock<std::mutex> &lock, Answer answer)
{
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
        m_changed.wait_for(lock, m_traits.work, hasEnded);
    }
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
