// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_HTTP_EXCHANGE_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_HTTP_EXCHANGE_HPP_INCLUDED

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fordwood/call.hpp"
#include "fordwood/verdict.hpp"

namespace fordwood::adapters {

using Headers = std::vector<std::pair<std::string, std::string>>;

// What is sent to an upstream for one call.
struct UpstreamRequest
{
    std::string method = "POST";
    std::string path;
    Headers headers;
    std::string body;
    std::string weightVersion; // that the headers and the salt in the body speak of; empty: none
    std::size_t saltOffset = 0; // of the salt in the body
    std::size_t saltLength = 0;
};

// The head of an answer.
struct AnswerHead
{
    int status = 200;
    Headers headers;
    bool isStream = false; // server-sent events: passed on as they come
};

// What the caller's thread finds when it looks for an answer.
struct AvailableAnswer
{
    enum class Kind { None, Refusal, Complete, Chunked };
    Kind kind = Kind::None;
    Verdict verdict; // of a refusal
    AnswerHead head; // of an answer
    std::string body; // of a whole answer; one in parts is read with read()
};

// One caller's request and its answer, shared by the thread that serves the caller, the dispatch
// thread and the thread that talks to upstreams. The answer is held here until the caller takes it;
// a slow caller holds back its upstream, never a thread. Thread-safe.
class Exchange
{
public:
    enum class AppendResult { Accepted, Full, Closed };
    enum class ReadResult { Data, Wait, End, Aborted };

    // `bufferBytes`: how much of an answer is held before its upstream is held back.
    Exchange(CallId id, UpstreamRequest request, std::size_t bufferBytes);

    CallId id() const { return m_id; }
    const UpstreamRequest &request() const { return m_request; }
    // Only for the dispatch thread, and only while no attempt is under way.
    UpstreamRequest &editRequest() { return m_request; }

    // --- for the thread that talks to upstreams ---

    // Begins the answer of one attempt. False when the exchange has ended or another attempt has
    // begun to answer: nothing of this one may then be passed on.
    bool begin(unsigned attempt, AnswerHead head);

    // Lets another attempt go on with an answer that the caller has a part of. False when there is
    // none to go on with.
    bool continueAnswer(unsigned attempt);

    // Adds bytes of the answer. Full: nothing was taken, try again after `onSpace` was called.
    AppendResult append(unsigned attempt, std::string_view bytes);

    // The answer is whole.
    void finish(unsigned attempt);

    // Drops what an attempt has answered so far. False when the caller has got a part of it, so
    // that no other attempt may answer any more.
    bool discard(unsigned attempt);

    // Sets what is called when a full buffer has space again.
    void setOnSpace(std::function<void()> onSpace);

    // --- for the dispatch thread ---

    // Ends the exchange with a verdict. If a part of the answer was passed on, it is cut off so
    // that the caller cannot take it for whole; else the caller gets the verdict alone.
    void refuse(const Verdict &verdict);

    // --- for the thread that serves the caller ---

    // Sets how the caller's thread is woken; it is called with the exchange locked.
    void setWake(std::function<void()> wake);

    // Takes the answer or the refusal. With Nothing the thread must wait to be woken.
    AvailableAnswer takeAnswer();

    // Reads bytes of an answer in parts. With Wait the thread must wait to be woken.
    ReadResult read(char *target, std::size_t size, std::size_t &count);

    // The caller is gone, or has its answer: nothing is read any more.
    void abandon();

private:
    void wakeLocked();
    bool isReadableLocked() const;

    const CallId m_id;
    UpstreamRequest m_request;
    const std::size_t m_bufferBytes;

    std::mutex m_mutex;
    std::optional<AnswerHead> m_head;
    std::optional<Verdict> m_refusal;
    unsigned m_attempt = 0; // that answers
    std::string m_buffer;
    std::size_t m_bufferRead = 0;
    bool m_isChunked = false; // passed on as it comes
    bool m_isStarted = false; // the caller's thread has taken the head
    bool m_isFinished = false;
    bool m_isAbandoned = false;
    bool m_isReaderWaiting = false;
    bool m_isFull = false;
    std::function<void()> m_wake;
    std::function<void()> m_onSpace;
};

// The JSON body of a refusal.
std::string refusalBody(const Verdict &verdict);

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_EXCHANGE_HPP_INCLUDED
