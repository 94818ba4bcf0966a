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

// The node's side of team ceilings: counts the requests that run here and says whether one more may
// begin. A node needs nobody's leave for its base part of a ceiling; beyond it, it needs an
// allowance from the team's owner. So teams far from their ceilings cost no message, and an owner
// that is gone leaves every node its base part. No I/O and no threads.
class CeilingGate
{
public:
    struct Limits
    {
        Duration retryDelay = std::chrono::milliseconds(200); // after less than was wanted
    };

    CeilingGate(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    // Replaces the base parts, by team. Teams that are not named have no ceiling.
    void setBases(const std::map<std::string, std::size_t> &bases);

    // True when a request of the team may begin; it is counted until leave().
    bool enter(const std::string &team);
    void leave(const std::string &team);

    // Whether asking the owner could let one more request of the team begin: not while the answer
    // to an earlier ask is new.
    bool mayRequest(const std::string &team) const;

    // What to ask the owner for, when `waiting` requests would like to begin. The answer goes to
    // onAnswer(). One ask of a team is open at a time.
    AllowanceRequest startRequest(const std::string &team, std::size_t waiting);
    bool isRequestPending(const std::string &team) const;

    // The owner has answered the open ask; an answer to an earlier one is passed over, since it
    // runs out earlier. Or it will not answer.
    void onAnswer(const std::string &team, std::uint64_t requestId, const Allowance &allowance);
    void onNoAnswer(const std::string &team);

    // Teams whose allowance is in use and past half its life: they should be asked for again.
    std::vector<std::string> dueForRenewal() const;

    std::size_t running(const std::string &team) const;

private:
    struct Team
    {
        bool limited = false;
        std::size_t base = 0;
        std::size_t running = 0;
        std::size_t amount = 0; // of the allowance
        TimePoint expiresAt{}; // end of the allowance
        TimePoint renewAt{};
        TimePoint requestedAt{};
        TimePoint retryAt{};
        std::size_t wanted = 0; // with the open ask
        std::uint64_t requestId = 0; // of the open ask
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
