// SPDX-License-Identifier: MIT
#include "adapters/http/exchange.hpp"

#include <strings.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include <nlohmann/json.hpp>

namespace fordwood::adapters {

std::string headerValue(const Headers &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
            return value;
    }
    return "";
}

Exchange::Exchange(CallId id, UpstreamRequest request, std::size_t bufferBytes)
    : m_id(id), m_request(std::move(request)), m_bufferBytes(bufferBytes)
{ }

bool Exchange::begin(unsigned attempt, AnswerHead head)
{
    const std::lock_guard lock(m_mutex);
    if (m_head || m_refusal || m_isAbandoned)
        return false;
    m_isChunked = head.isStream;
    m_head = std::move(head);
    m_attempt = attempt;
    return true;
}

bool Exchange::continueAnswer(unsigned attempt)
{
    const std::lock_guard lock(m_mutex);
    if (!m_isStarted || m_isFinished || m_refusal || m_isAbandoned)
        return false;
    m_attempt = attempt;
    return true;
}

Exchange::AppendResult Exchange::append(unsigned attempt, std::string_view bytes)
{
    const std::lock_guard lock(m_mutex);
    if (m_isAbandoned || m_refusal || m_isFinished || attempt != m_attempt)
        return AppendResult::Closed;
    if (m_bufferRead == m_buffer.size()) {
        m_buffer.clear();
        m_bufferRead = 0;
    }
    const std::size_t buffered = m_buffer.size() - m_bufferRead;
    if (buffered > 0 && buffered + bytes.size() > m_bufferBytes) {
        // The answer is too large to buffer it completely, so it is sent in chunks.
        m_isFull = true;
        m_isChunked = true;
        wakeLocked();
        return AppendResult::Full;
    }
    m_buffer.append(bytes);
    if (m_isChunked)
        wakeLocked();
    return AppendResult::Accepted;
}

void Exchange::finish(unsigned attempt)
{
    const std::lock_guard lock(m_mutex);
    if (m_refusal || attempt != m_attempt)
        return;
    m_isFinished = true;
    wakeLocked();
}

bool Exchange::discard(unsigned attempt)
{
    const std::lock_guard lock(m_mutex);
    if (!m_head || attempt != m_attempt)
        return !m_isStarted;
    if (m_isStarted)
        return false;
    m_head.reset();
    m_buffer.clear();
    m_bufferRead = 0;
    m_isChunked = false;
    m_isFull = false;
    return true;
}

void Exchange::setOnSpace(std::function<void()> onSpace)
{
    const std::lock_guard lock(m_mutex);
    m_onSpace = std::move(onSpace);
}

bool Exchange::refuse(const Verdict &verdict)
{
    const std::lock_guard lock(m_mutex);
    if (m_isFinished || m_refusal)
        return false;
    m_refusal = verdict;
    if (!m_isStarted) {
        m_head.reset();
        m_buffer.clear();
        m_bufferRead = 0;
    } else if (m_head->isStream) {
        m_buffer += "\nevent: error\ndata: " + refusalBody(verdict) + "\n\n";
    }
    wakeLocked();
    return true;
}

void Exchange::setWake(std::function<void()> wake)
{
    const std::lock_guard lock(m_mutex);
    m_wake = std::move(wake);
}

AvailableAnswer Exchange::takeAnswer()
{
    const std::lock_guard lock(m_mutex);
    AvailableAnswer answer;
    if (!isReadableLocked()) {
        m_isReaderWaiting = true;
        return answer;
    }
    if (!m_head) {
        answer.kind = AvailableAnswer::Kind::Refusal;
        answer.verdict = *m_refusal;
        return answer;
    }
    m_isStarted = true;
    answer.head = *m_head;
    if (m_isFinished && !m_isChunked) {
        answer.kind = AvailableAnswer::Kind::Complete;
        answer.body = std::move(m_buffer);
        m_buffer.clear();
        return answer;
    }
    answer.kind = AvailableAnswer::Kind::Chunked;
    return answer;
}

Exchange::ReadResult Exchange::read(char *target, std::size_t size, std::size_t &count)
{
    std::function<void()> onSpace;
    {
        const std::lock_guard lock(m_mutex);
        count = std::min(size, m_buffer.size() - m_bufferRead);
        if (count == 0) {
            if (m_refusal || m_isAbandoned)
                return ReadResult::Aborted;
            if (m_isFinished)
                return ReadResult::End;
            m_isReaderWaiting = true;
            return ReadResult::Wait;
        }
        std::memcpy(target, m_buffer.data() + m_bufferRead, count);
        m_bufferRead += count;
        m_bytesTaken += count;
        if (std::exchange(m_isFull, false))
            onSpace = m_onSpace;
    }
    if (onSpace)
        onSpace();
    return ReadResult::Data;
}

Exchange::Progress Exchange::progress()
{
    const std::lock_guard lock(m_mutex);
    return {m_isStarted, m_bytesTaken};
}

void Exchange::abandon()
{
    std::function<void()> onSpace;
    {
        const std::lock_guard lock(m_mutex);
        m_isAbandoned = true;
        m_wake = nullptr;
        if (std::exchange(m_isFull, false))
            onSpace = m_onSpace;
    }
    if (onSpace)
        onSpace();
}

void Exchange::wakeLocked()
{
    if (!m_isReaderWaiting || !m_wake)
        return;
    m_isReaderWaiting = false;
    m_wake();
}

bool Exchange::isReadableLocked() const
{
    if (m_refusal || m_isFinished)
        return true;
    return m_head && m_isChunked && m_bufferRead < m_buffer.size();
}

std::string refusalBody(const Verdict &verdict)
{
    const ReasonInfo &reasonInfo = info(verdict.reason);
    std::string message(reasonInfo.text);
    if (!verdict.detail.empty())
        message += " " + verdict.detail;
    const nlohmann::json body{{"error",
                               {{"message", message},
                                {"type", "fordwood_refusal"},
                                {"code", reasonInfo.name},
                                {"verdict", headerValue(verdict.state)}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace fordwood::adapters
