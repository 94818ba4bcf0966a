// SPDX-License-Identifier: MIT
#include "adapters/http/exchange.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

#include <nlohmann/json.hpp>

namespace fordwood::adapters {

Exchange::Exchange(CallId id, UpstreamRequest request, std::size_t bufferBytes)
    : m_id(id), m_request(std::move(request)), m_bufferBytes(bufferBytes)
{ }

bool Exchange::begin(unsigned attempt, AnswerHead head)
{
    const std::lock_guard lock(m_mutex);
    if (m_head || m_refusal || m_abandoned)
        return false;
    m_inParts = head.stream;
    m_head = std::move(head);
    m_attempt = attempt;
    return true;
}

bool Exchange::goOn(unsigned attempt)
{
    const std::lock_guard lock(m_mutex);
    if (!m_started || m_finished || m_refusal || m_abandoned)
        return false;
    m_attempt = attempt;
    return true;
}

Exchange::Append Exchange::append(unsigned attempt, std::string_view bytes)
{
    const std::lock_guard lock(m_mutex);
    if (m_abandoned || m_refusal || m_finished || attempt != m_attempt)
        return Append::Gone;
    if (m_bufferRead == m_buffer.size()) {
        m_buffer.clear();
        m_bufferRead = 0;
    }
    const std::size_t held = m_buffer.size() - m_bufferRead;
    if (held > 0 && held + bytes.size() > m_bufferBytes) {
        // An answer too large to be held whole goes out in parts.
        m_full = true;
        m_inParts = true;
        wakeLocked();
        return Append::Full;
    }
    m_buffer.append(bytes);
    if (m_inParts)
        wakeLocked();
    return Append::Taken;
}

void Exchange::finish(unsigned attempt)
{
    const std::lock_guard lock(m_mutex);
    if (m_refusal || attempt != m_attempt)
        return;
    m_finished = true;
    wakeLocked();
}

bool Exchange::discard(unsigned attempt)
{
    const std::lock_guard lock(m_mutex);
    if (!m_head || attempt != m_attempt)
        return !m_started;
    if (m_started)
        return false;
    m_head.reset();
    m_buffer.clear();
    m_bufferRead = 0;
    m_inParts = false;
    m_full = false;
    return true;
}

void Exchange::setOnSpace(std::function<void()> onSpace)
{
    const std::lock_guard lock(m_mutex);
    m_onSpace = std::move(onSpace);
}

void Exchange::refuse(const Verdict &verdict)
{
    const std::lock_guard lock(m_mutex);
    if (m_finished || m_refusal)
        return;
    m_refusal = verdict;
    if (!m_started) {
        m_head.reset();
        m_buffer.clear();
        m_bufferRead = 0;
    } else if (m_head->stream) {
        m_buffer += "\nevent: error\ndata: " + refusalBody(verdict) + "\n\n";
    }
    wakeLocked();
}

void Exchange::setWake(std::function<void()> wake)
{
    const std::lock_guard lock(m_mutex);
    m_wake = std::move(wake);
}

TakenAnswer Exchange::takeAnswer()
{
    const std::lock_guard lock(m_mutex);
    TakenAnswer taken;
    if (!readableLocked()) {
        m_sleeping = true;
        return taken;
    }
    if (!m_head) {
        taken.kind = TakenAnswer::Kind::Refusal;
        taken.verdict = *m_refusal;
        return taken;
    }
    m_started = true;
    taken.head = *m_head;
    if (m_finished && !m_inParts) {
        taken.kind = TakenAnswer::Kind::Whole;
        taken.body = std::move(m_buffer);
        m_buffer.clear();
        return taken;
    }
    taken.kind = TakenAnswer::Kind::Parts;
    return taken;
}

Exchange::Read Exchange::read(char *target, std::size_t size, std::size_t &taken)
{
    std::function<void()> onSpace;
    {
        const std::lock_guard lock(m_mutex);
        taken = std::min(size, m_buffer.size() - m_bufferRead);
        if (taken == 0) {
            if (m_refusal || m_abandoned)
                return Read::Broken;
            if (m_finished)
                return Read::End;
            m_sleeping = true;
            return Read::Wait;
        }
        std::memcpy(target, m_buffer.data() + m_bufferRead, taken);
        m_bufferRead += taken;
        if (std::exchange(m_full, false))
            onSpace = m_onSpace;
    }
    if (onSpace)
        onSpace();
    return Read::Data;
}

void Exchange::abandon()
{
    std::function<void()> onSpace;
    {
        const std::lock_guard lock(m_mutex);
        m_abandoned = true;
        m_wake = nullptr;
        if (std::exchange(m_full, false))
            onSpace = m_onSpace;
    }
    if (onSpace)
        onSpace();
}

void Exchange::wakeLocked()
{
    if (!m_sleeping || !m_wake)
        return;
    m_sleeping = false;
    m_wake();
}

bool Exchange::readableLocked() const
{
    if (m_refusal || m_finished)
        return true;
    return m_head && m_inParts && m_bufferRead < m_buffer.size();
}

std::string refusalBody(const Verdict &verdict)
{
    const ReasonInfo &known = info(verdict.reason);
    std::string message(known.text);
    if (!verdict.detail.empty())
        message += " " + verdict.detail;
    const nlohmann::json body{{"error",
                               {{"message", message},
                                {"type", "fordwood_refusal"},
                                {"code", known.name},
                                {"verdict", headerValue(verdict.state)}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace fordwood::adapters
