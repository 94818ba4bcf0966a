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

// Returns the value of a header, ignoring the case of its name; empty if absent.
std::string headerValue(const Headers &headers, std::string_view name);

// The request sent to an upstream for one call.
struct UpstreamRequest
{
    std::string method = "POST";
    std::string path;
    Headers headers;
    std::string body;
    std::string weightVersion; // named by the headers and by the salt in the body; empty: none
    std::size_t saltOffset = 0; // where the salt begins in the body
    std::size_t saltLength = 0;
};

// The head of an answer.
struct AnswerHead
{
    int status = 200;
    Headers headers;
    bool isStream = false; // server-sent events, forwarded as they arrive
};

// What is available to the thread that serves the caller: no answer yet, a refusal, a complete
// answer or the start of one that is sent in chunks.
struct AvailableAnswer
{
    enum class Kind { None, Refusal, Complete, Chunked };
    Kind kind = Kind::None;
    Verdict verdict; // of a refusal
    AnswerHead head; // of an answer
    std::string body; // of a complete answer; a chunked one is read with read()
};

// A caller's request and its answer, shared by the thread that serves the caller, the dispatch
// thread and the upstream client's thread. The answer is buffered here until the caller reads it. A
// slow caller slows down its upstream but never blocks a thread. Thread-safe.
class Exchange
{
public:
    enum class AppendResult { Accepted, Full, Closed };
    enum class ReadResult { Data, Wait, End, Aborted };

    // `bufferBytes`: how much of an answer is buffered before reading from the upstream pauses.
    Exchange(CallId id, UpstreamRequest request, std::size_t bufferBytes);

    CallId id() const { return m_id; }
    const UpstreamRequest &request() const { return m_request; }
    // Only for the dispatch thread, and only while no attempt is in progress.
    UpstreamRequest &editRequest() { return m_request; }

    // --- for the upstream client's thread ---

    // Starts the answer of an attempt. Returns false if the exchange has ended or another attempt
    // has started its answer; then nothing of this attempt's answer may be forwarded.
    bool begin(unsigned attempt, AnswerHead head);

    // Lets another attempt continue an answer that the caller has received in part. Returns false
    // if there is no such answer.
    bool continueAnswer(unsigned attempt);

    // Appends bytes to the answer. Full: no bytes were accepted; retry after `onSpace` was called.
    // Closed: the answer of this attempt is no longer wanted.
    AppendResult append(unsigned attempt, std::string_view bytes);

    // The answer is complete.
    void finish(unsigned attempt);

    // Discards what an attempt has answered so far. Returns false if the caller has already
    // received a part of it, so that no other attempt may start an answer.
    bool discard(unsigned attempt);

    // Sets the callback for when a full buffer has space again.
    void setOnSpace(std::function<void()> onSpace);

    // --- for the dispatch thread ---

    // Ends the exchange with a verdict. If a part of the answer was already sent, the answer is
    // aborted so that the caller cannot mistake it for complete; otherwise the caller receives only
    // the verdict. Returns false if the answer is already complete or refused.
    bool refuse(const Verdict &verdict);

    // --- for the thread that serves the caller ---

    // Sets the callback that wakes the caller's thread. It is called while the exchange is locked.
    void setWake(std::function<void()> wake);

    // Takes the answer or the refusal. After None the thread must wait until it is woken.
    AvailableAnswer takeAnswer();

    // Reads bytes of a chunked answer. After Wait the thread must wait until it is woken.
    ReadResult read(char *target, std::size_t size, std::size_t &count);

    // How much of the answer the caller's thread has taken.
    struct Progress
    {
        bool hasBegun = false; // the head at least
        std::size_t bytes = 0; // of a chunked answer
    };
    Progress progress();

    // The caller disconnected or has received its answer: nothing more will be read.
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
    unsigned m_attempt = 0; // the attempt whose answer is buffered
    std::string m_buffer;
    std::size_t m_bufferRead = 0;
    std::size_t m_bytesTaken = 0;
    bool m_isChunked = false; // forwarded as it arrives
    bool m_isStarted = false; // the caller's thread has taken the head of the answer
    bool m_isFinished = false;
    bool m_isAbandoned = false;
    bool m_isReaderWaiting = false;
    bool m_isFull = false;
    std::function<void()> m_wake;
    std::function<void()> m_onSpace;
};

// Returns the JSON body of a refusal.
std::string refusalBody(const Verdict &verdict);

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_EXCHANGE_HPP_INCLUDED
