// SPDX-License-Identifier: MIT
#include "fordwood/placement_admission.hpp"

#include <algorithm>

namespace fordwood {

namespace {

using Milliseconds = std::chrono::milliseconds;

// A returning caller may get its first token this much later than a new one, in target latencies. A
// late answer is worth more to it than another rejection.
constexpr int kReturningLimit = 2;

// Part of the Retry-After by which a caller may return earlier, for clocks and rounding.
constexpr int kEarlyDivisor = 5;

// A caller that returns later than this has probably done something else meanwhile.
constexpr Duration kReturnTime = std::chrono::seconds(1);

// A caller keeps two thirds of its time for the answer and for one more rejection.
constexpr int kRemainingDivisor = 3;

// Placements are counted over this time for the rate at which callers return, and rejections and
// the placements of teams for their shares.
constexpr Duration kRateWindow = std::chrono::seconds(3);
constexpr Duration kShareWindow = std::chrono::seconds(1);

// A few placements after a pause do not show a rate.
constexpr Duration kMinRateSpan = std::chrono::milliseconds(500);

// In placements per second. Without recent placements the rate is unknown, and the backlog
// determines most of the Retry-After.
constexpr double kMinRate = 1.0;

// Teams have equal shares. The demand of most is below theirs, so a team may use two.
constexpr std::size_t kMaxShares = 2;

// With fewer placements in the window the share of one request is larger than a team's share.
constexpr std::size_t kMinCountedPlacements = 2;

constexpr Duration kTeamAge = std::chrono::seconds(5);
constexpr Duration kTeamCheckInterval = std::chrono::milliseconds(100);

// Bounds of the memory, about 4 MB for each service. Deployments have some dozens of teams, and
// reject some hundreds of prompts per second at most.
constexpr std::size_t kMaxTeams = 1'024;
constexpr std::size_t kMaxWaiting = 16'384;
constexpr std::size_t kMaxPlacements = 16'384;

Milliseconds longestRetryAfter(Duration remaining)
{
    const Duration longest = std::min(remaining / kRemainingDivisor, RetrySchedule::kMaxDelay);
    return std::max(std::chrono::duration_cast<Milliseconds>(longest), Milliseconds(1));
}

} // namespace

PlacementAdmission::Decision PlacementAdmission::decide(const Request &request)
{
    removeExpired();
    Team &team = seenTeam(request.team);
    const Duration target = request.targetLatency;
    const bool isLate = isTooLate(request, false);
    const bool isReturning = isDue(request.fingerprint);
    const bool isWithinLimit = !isLate || (isReturning && !isTooLate(request, true));
    // Where late answers are served, a team above its share gets only those in time.
    const Duration shareLimit = m_limits.maxLateShare > 0.0 ? target : target / 2;
    const bool isOverShareNow
        = target > Duration::zero() && request.delay > shareLimit && isOverShare(team);
    Decision decision;
    decision.isPlaced = isWithinLimit && !isOverShareNow;
    decision.isReturning = decision.isPlaced && isReturning;
    decision.isOverShare = isWithinLimit && isOverShareNow;
    if (decision.isPlaced) {
        recordPlaced(request, team);
        return decision;
    }
    if (isLate)
        m_lastLate = m_clock.now();
    decision.retryAfter = reject(request, team);
    return decision;
}

// Whether the prompt would be so late at every engine that it is rejected.
bool PlacementAdmission::isTooLate(const Request &request, bool isReturning) const
{
    if (request.targetLatency <= Duration::zero())
        return false;
    const Duration latest = std::max(
        request.targetLatency,
        std::chrono::duration_cast<Duration>(
            m_limits.maxLateShare * std::chrono::duration<double, std::nano>(request.remaining)));
    return request.delay
           > (isReturning ? std::max(latest, kReturningLimit * request.targetLatency) : latest);
}

void PlacementAdmission::removeExpired()
{
    const TimePoint now = m_clock.now();
    while (!m_placements.empty() && now - m_placements.front() >= kRateWindow)
        m_placements.pop_front();
    while (!m_teamPlacements.empty() && now - m_teamPlacements.front().first >= kShareWindow) {
        const auto it = m_teams.find(m_teamPlacements.front().second);
        if (it != m_teams.end() && it->second.placed > 0)
            --it->second.placed;
        m_teamPlacements.pop_front();
    }
    while (!m_expiries.empty() && m_expiries.begin()->first < now)
        forget(m_expiries.begin()->second);
    if (now - m_teamsCheckedAt >= kTeamCheckInterval)
        removeExpiredTeams();
}

void PlacementAdmission::removeExpiredTeams()
{
    m_teamsCheckedAt = m_clock.now();
    std::erase_if(m_teams, [this](const auto &it) {
        return m_teamsCheckedAt - it.second.lastSeen >= kTeamAge;
    });
}

PlacementAdmission::Team &PlacementAdmission::seenTeam(std::uint64_t id)
{
    if (m_teams.size() >= kMaxTeams && m_teams.count(id) == 0) {
        const auto oldest
            = std::min_element(m_teams.begin(), m_teams.end(), [](const auto &a, const auto &b) {
                  return a.second.lastSeen < b.second.lastSeen;
              });
        m_teams.erase(oldest);
    }
    Team &team = m_teams.try_emplace(id, m_clock).first->second;
    team.lastSeen = m_clock.now();
    return team;
}

bool PlacementAdmission::isDue(std::uint64_t fingerprint) const
{
    const auto it = m_waiting.find(fingerprint);
    return it != m_waiting.end() && m_clock.now() >= it->second.validFrom;
}

// Only rejections of prompts that would be late count: a team above its share would otherwise be
// rejected for as long as it sends, even if the engines could serve all.
bool PlacementAdmission::isOverShare(const Team &team) const
{
    if (m_clock.now() - m_lastLate >= kShareWindow || m_teams.size() < 2)
        return false;
    return team.placed >= kMinCountedPlacements
           && team.placed * m_teams.size() > kMaxShares * m_teamPlacements.size();
}

// Rate at which the callers of one team return. All teams with rejected callers together return at
// the rate of the placements.
double PlacementAdmission::ratePerTeam() const
{
    const TimePoint now = m_clock.now();
    double rate = 0.0;
    if (!m_placements.empty()) {
        const std::chrono::duration<double> span
            = std::max(now - m_placements.front(), kMinRateSpan);
        rate = static_cast<double>(m_placements.size()) / span.count();
    }
    const auto rejected = std::count_if(m_teams.begin(), m_teams.end(), [now](const auto &it) {
        return now - it.second.lastRejected < kShareWindow;
    });
    return std::max(rate, kMinRate) / static_cast<double>(std::max<std::ptrdiff_t>(rejected, 1));
}

void PlacementAdmission::recordPlaced(const Request &request, Team &team)
{
    forget(request.fingerprint);
    if (m_placements.size() >= kMaxPlacements || m_teamPlacements.size() >= kMaxPlacements)
        return;
    m_placements.push_back(m_clock.now());
    m_teamPlacements.emplace_back(m_clock.now(), request.team);
    ++team.placed;
}

Milliseconds PlacementAdmission::reject(const Request &request, Team &team)
{
    team.lastRejected = m_clock.now();
    if (m_waiting.count(request.fingerprint) > 0 && !isDue(request.fingerprint))
        return timeLeft(request);
    return nextTurn(request, team);
}

// A caller that returns early keeps its turn: with a new one at the end it would never get a place,
// and its former turn would remain unused. The tolerance shrinks with the time that is left, so
// that frequent attempts do not bring the turn forward.
Milliseconds PlacementAdmission::timeLeft(const Request &request)
{
    const TimePoint now = m_clock.now();
    const TimePoint due = std::min(m_waiting.at(request.fingerprint).due,
                                   now + longestRetryAfter(request.remaining));
    remember(request.fingerprint, due);
    return std::chrono::ceil<Milliseconds>(due - now);
}

Milliseconds PlacementAdmission::nextTurn(const Request &request, Team &team)
{
    const Duration closedFor
        = std::max(request.delay - request.targetLatency / 2, Duration::zero());
    const Milliseconds turn
        = team.schedule.next(ratePerTeam(), closedFor, longestRetryAfter(request.remaining));
    remember(request.fingerprint, m_clock.now() + turn);
    return turn;
}

// When the memory is full, new callers are not remembered: the others have been promised a turn.
void PlacementAdmission::remember(std::uint64_t fingerprint, TimePoint due)
{
    forget(fingerprint);
    if (m_waiting.size() >= kMaxWaiting)
        return;
    const Duration early = (due - m_clock.now()) / kEarlyDivisor;
    const Waiting waiting{due - early, due, due + kReturnTime};
    m_waiting.emplace(fingerprint, waiting);
    m_expiries.emplace(waiting.validUntil, fingerprint);
}

void PlacementAdmission::forget(std::uint64_t fingerprint)
{
    const auto it = m_waiting.find(fingerprint);
    if (it == m_waiting.end())
        return;
    m_expiries.erase({it->second.validUntil, fingerprint});
    m_waiting.erase(it);
}

} // namespace fordwood
