// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_PLACEMENT_ADMISSION_HPP_INCLUDED
#define FORDWOOD_PLACEMENT_ADMISSION_HPP_INCLUDED

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "fordwood/clock.hpp"
#include "fordwood/retry_schedule.hpp"

namespace fordwood {

// Decides whether a scheduler places a long prompt or rejects it with a Retry-After.
//
// It serves load above the capacity of a service's engines for some seconds. Prompts that would get
// their first token late at every engine are rejected at once, so that queues stay short. Rejected
// callers return one after the other, at times when a place is expected to be free, and then have
// precedence over new ones. While prompts are rejected, no team takes the places of the others.
//
// All state is in memory, for one service. A scheduler that has just taken over treats returning
// callers as new.
class PlacementAdmission
{
public:
    struct Request
    {
        std::uint64_t team = 0; // hash of its name
        std::uint64_t fingerprint = 0; // of the content; the same when the caller returns
        Duration targetLatency{}; // zero: none; the request is placed
        Duration remaining{}; // until the caller's deadline
        // Estimated time to the first token at the best engine. Must not be larger than the target
        // latency if any engine would meet it.
        Duration delay{};
    };

    struct Decision
    {
        bool isPlaced = false;
        bool isReturning = false; // placed after its Retry-After
        bool isOverShare = false; // rejected only because its team is above its share
        std::chrono::milliseconds retryAfter{0}; // if rejected
    };

    struct Limits
    {
        // A prompt that would be late at every engine is nevertheless placed if its first token is
        // expected within this share of the time until the caller's deadline.
        double maxLateShare = 0.0;
    };

    explicit PlacementAdmission(const Clock &clock) : PlacementAdmission(clock, Limits{}) { }
    PlacementAdmission(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    // Decides on a request and records the decision.
    Decision decide(const Request &request);

    // Number of rejected requests that are remembered, and of teams.
    std::size_t waitingCallers() const { return m_waiting.size(); }
    std::size_t teams() const { return m_teams.size(); }

private:
    struct Team
    {
        explicit Team(const Clock &clock) : schedule(clock) { }

        TimePoint lastSeen{};
        TimePoint lastRejected{};
        std::size_t placed = 0; // within the share window
        // One schedule for each team: otherwise a large team's callers would take the next turns
        // of all others.
        RetrySchedule schedule;
    };
    // A rejected caller that is expected to return.
    struct Waiting
    {
        TimePoint validFrom{}; // precedence begins
        TimePoint due{}; // end of its Retry-After
        TimePoint validUntil{};
    };

    bool isTooLate(const Request &request, bool isReturning) const;
    void removeExpired();
    void removeExpiredTeams();
    Team &seenTeam(std::uint64_t id);
    bool isDue(std::uint64_t fingerprint) const;
    bool isOverShare(const Team &team) const;
    double ratePerTeam() const;
    void recordPlaced(const Request &request, Team &team);
    std::chrono::milliseconds reject(const Request &request, Team &team);
    std::chrono::milliseconds timeLeft(const Request &request);
    std::chrono::milliseconds nextTurn(const Request &request, Team &team);
    void remember(std::uint64_t fingerprint, TimePoint due);
    void forget(std::uint64_t fingerprint);

    const Clock &m_clock;
    const Limits m_limits;
    std::map<std::uint64_t, Team> m_teams;
    TimePoint m_teamsCheckedAt{};
    std::map<std::uint64_t, Waiting> m_waiting; // by fingerprint
    std::set<std::pair<TimePoint, std::uint64_t>> m_expiries; // of m_waiting
    std::deque<TimePoint> m_placements; // within the rate window
    std::deque<std::pair<TimePoint, std::uint64_t>>
        m_teamPlacements; // team of each placement within the share window
    TimePoint m_lastLate{}; // latest rejection of a prompt that would be late at every engine
};

} // namespace fordwood

#endif // FORDWOOD_PLACEMENT_ADMISSION_HPP_INCLUDED
