// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_BUFFER_BUDGET_HPP_INCLUDED
#define FORDWOOD_BUFFER_BUDGET_HPP_INCLUDED

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace fordwood {

// Limits on the bytes that a node holds for callers and upstreams that read slowly.
struct BufferLimits
{
    std::size_t perChannel = 65'536; // of one answer that its caller has not read yet
    std::size_t perTeam = 16'777'216; // of all requests and answers of one team
    std::size_t total = 33'554'432; // of all requests and answers
};

// Counts the bytes of requests and answers that a node holds in memory, and decides whether it may
// hold more. Answers above their limit are not rejected: their upstreams are not read until the
// caller has read. Request bodies above the limit are rejected before they reach an upstream, and
// streams above it end if they hold a large part of an event.
//
// Load pattern: hundreds of callers stop reading long answers, or one team sends large requests to
// an upstream that reads slowly, or faulty upstreams send events without end on a thousand streams,
// while other teams' small requests arrive at their usual rate.
class BufferBudget
{
    struct Held
    {
        std::size_t total = 0;
        std::map<std::string, std::size_t> teams; // teams that hold something
    };

public:
    explicit BufferBudget(BufferLimits limits) : m_limits(limits) { }
    BufferBudget(const BufferBudget &) = delete;
    BufferBudget &operator=(const BufferBudget &) = delete;

    // Each buffer may always hold this much. Requests and answers of the usual size pass even while
    // slow readers use up the limits.
    static constexpr std::size_t kAlwaysAllowed = 16'384;

    // The bytes held in one place, such as the unsent part of an answer. Returns them to the budget
    // when it is destroyed. May outlive the budget, as an unfinished write does when its event loop
    // ends.
    class Buffer
    {
    public:
        explicit Buffer(const BufferBudget &budget) : m_held(budget.m_held) { }
        ~Buffer() { resize(0); }
        Buffer(Buffer &&other) noexcept;
        Buffer &operator=(Buffer &&) = delete;

        void resize(std::size_t bytes);
        void add(std::size_t bytes) { resize(m_bytes + bytes); }
        void remove(std::size_t bytes) { resize(m_bytes - bytes); }

        // Counts the bytes toward this team from now on; empty: toward no team.
        void setTeam(const std::string &team);

        std::size_t bytes() const { return m_bytes; }

    private:
        friend class BufferBudget;

        std::shared_ptr<Held> m_held; // of the budget; null after a move
        std::string m_team;
        std::size_t m_bytes = 0;
    };

    // Whether more of an answer may be read into the buffer.
    bool mayReadAnswer(const Buffer &buffer) const;

    // Whether the buffer may hold what it does, an event of a stream that is not whole. Nothing of
    // it can be passed on, so a stream above the limit ends: if its upstream were not read instead,
    // streams that wait for each other's space would never go on.
    bool mayHoldEvent(const Buffer &buffer) const { return mayHoldRequest(buffer); }

    // Whether the buffer may hold what it does, a request body or a part of one.
    bool mayHoldRequest(const Buffer &buffer) const;

    const BufferLimits &limits() const { return m_limits; }
    std::size_t total() const { return m_held->total; }

private:
    bool isWithinLimits(const std::string &team) const;

    const BufferLimits m_limits;
    const std::shared_ptr<Held> m_held = std::make_shared<Held>();
};

} // namespace fordwood

#endif // FORDWOOD_BUFFER_BUDGET_HPP_INCLUDED
