// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_RAW_UPSTREAM_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_RAW_UPSTREAM_HPP_INCLUDED

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>

namespace fordwood::process {

// Stand-in for an upstream that sends given bytes for each request, whatever they are, and closes
// the connection in order, without a reset, unless a test asks for another end. Handles one
// connection at a time.
class RawUpstream
{
public:
    // Listens at "IP:port".
    explicit RawUpstream(const std::string &address);
    ~RawUpstream();
    RawUpstream(const RawUpstream &) = delete;
    RawUpstream &operator=(const RawUpstream &) = delete;

    // How a connection ends after the bytes.
    enum class End {
        Close,
        Reset, // a moment later, so that the bytes have been read
        CloseSending, // the sending side only; what still comes is read
        Hold, // the connection stays open until the other side closes it
    };

    void setEnd(End end) { m_end = end; }

    // Whether the bytes are sent as soon as the head of a request has arrived, before its body.
    void setEarly(bool isEarly) { m_isEarly = isEarly; }

    // From now on these bytes are sent, with the request's id in place of "{id}".
    void setAnswer(std::string bytes);

    // A header field of the last request that was answered.
    std::string lastField(const std::string &name);

    // Requests that were answered.
    int answered() const { return m_answered; }

    // Bytes of the answer before that the other side's connection has taken.
    std::size_t sentBytes() const { return m_sentBytes; }

private:
    void run();
    void answer(int connection);
    void endConnection(int connection) const;

    int m_listener = -1;
    std::mutex m_mutex;
    std::string m_bytes;
    std::string m_lastRequest;
    std::atomic<End> m_end{End::Close};
    std::atomic<bool> m_isEarly{false};
    std::atomic<int> m_answered{0};
    std::atomic<std::size_t> m_sentBytes{0};
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_RAW_UPSTREAM_HPP_INCLUDED
