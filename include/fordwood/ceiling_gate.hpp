// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CEILING_GATE_HPP_INCLUDED
#define FORDWOOD_CEILING_GATE_HPP_INCLUDED

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "fordwood/allowance_allocator.hpp"
#include "fordwood/clock.hpp"

namespace fordwood {

// Enforces team ceilings on one node: counts the running requests of each team and decides whether
// another may start. A node may use its base share of a ceiling without asking; beyond it, it needs
// an allowance from the team's owner. So teams far below their ceilings cost no messages, and the
// loss of an owner leaves every node its base share. No I/O and no threads.
class CeilingGate
{
public:
    struct Limits
    {
        // Before the next request, after a grant smaller than requested or no answer.
        Duration retryDelay = std::chrono::milliseconds(200);
    };

    CeilingGate(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    // Replaces the base shares, by team. Teams that are not listed have no ceiling.
    void setBases(const std::map<std::string, std::size_t> &bases);

    // Returns true if a request of the team may start; it counts as running until leave().
    bool enter(const std::string &team);
    void leave(const std::string &team);

    // Whether a request to the owner could help. False for a short time after the owner granted
    // less than requested or did not answer.
    bool mayRequest(const std::string &team) const;

    // Builds the request to the owner when `waiting` calls of the team want to start. The answer
    // goes to onAnswer(). At most one request per team is pending.
    AllowanceRequest startRequest(const std::string &team, std::size_t waiting);
    bool isRequestPending(const std::string &team) const;

    // onAnswer(): the owner has answered. An answer to an earlier request than the pending one is
    // ignored, because its allowance expires earlier. onNoAnswer(): the owner will not answer.
    void onAnswer(const std::string &team, std::uint64_t requestId, const Allowance &allowance);
    void onNoAnswer(const std::string &team);

    // Teams that use their allowance and are past half its lifetime, so that it should be renewed.
    std::vector<std::string> dueForRenewal() const;

    std::size_t running(const std::string &team) const;

private:
    struct Team
    {
        bool limited = false;
        std::size_t base = 0;
        std::size_t running = 0;
        std::size_t amount = 0; // beyond the base share
        TimePoint expiresAt{}; // of the allowance
        TimePoint renewAt{};
        TimePoint requestedAt{};
        TimePoint retryAt{};
        std::size_t wanted = 0; // by the pending request
        std::uint64_t requestId = 0; // of the pending request
        bool isPending = false;
    };

    std::size_t ceiling(const Team &team) const;

    const Clock &m_clock;
    Limits m_limits;
    std::map<std::string, Team> m_teams;
    std::uint64_t m_nextRequestId = 1;
};

} // namespace fordwood

#endif // FORDWOOD_CEILING_GATE_HPP_INCLUDED
