// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_PLACE_LENDER_HPP_INCLUDED
#define FORDWOOD_PLACE_LENDER_HPP_INCLUDED

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/placement_ledger.hpp"
#include "fordwood/retry_schedule.hpp"
#include "fordwood/stall_detector.hpp"

namespace fordwood {

// Asks for a place at one of several upstreams.
struct PlaceRequest
{
    PlacementId id;
    std::vector<std::uint64_t> upstreams; // hashes of instance ids, the preferred one first
    std::chrono::milliseconds patience{0}; // how long the request may wait for a place
    std::chrono::milliseconds lease{0}; // the place is free again after this time at the latest
};

// The reply to a request for a place.
struct PlaceReply
{
    std::uint64_t number = 0; // of the request's id
    std::uint64_t upstream = 0; // at which a place is lent; zero: there is none
    std::chrono::milliseconds retryAfter{0}; // if there is none

    bool isLent() const { return upstream != 0; }
};

// The open requests of one process at brittle upstreams, as it reports them to a lender.
struct PlaceReport
{
    struct Count
    {
        std::uint64_t upstream = 0;
        std::size_t requests = 0;
    };

    std::uint64_t process = 0;
    std::vector<std::uint64_t> numbers; // of the places that this lender has lent
    std::vector<Count> others; // requests without such a place
};

// Lends the places of upstreams that must not be sent more requests than they have slots. Load
// pattern: callers at all nodes offer more than the upstreams can serve, each upstream has few
// slots, and a request takes less time than nodes need to tell each other of it. One process
// therefore counts the open requests of all nodes. It lends a place for each request, lets requests
// wait in order for as long as they may, and rejects at once those that would wait in vain.
//
// Processes that hold places report them regularly, also to a second lender. That settles what lost
// messages leave behind, and the second lender knows the open requests when it has to take over.
class PlaceLender
{
public:
    struct Limits
    {
        // A report on a place may have been sent before the place was lent.
        Duration reportDelay = std::chrono::milliseconds(300);
        // A process that has stopped reporting has ended or uses another lender.
        Duration reportLifetime = std::chrono::seconds(1);
        // After this time processes have reported what they had open when this lender was chosen.
        Duration warmUp = std::chrono::milliseconds(300);
        // How long a lender that knows nothing waits for the first process that reports to it.
        Duration maxWait = std::chrono::seconds(1);
        // A lender that did nothing for this long was stalled, and another one may have lent the
        // same places meanwhile. Its periodic work comes several times as often.
        Duration minStall = std::chrono::milliseconds(400);
        // A lender that nobody has sent anything for this long has not been the lender.
        Duration idleTime = std::chrono::seconds(2);
        // How long an upstream that rejected a request for want of room is not lent.
        Duration rejectionPause = std::chrono::milliseconds(250);
        // After a rejection fewer places are lent. Their number grows by one in this time.
        Duration raiseInterval = std::chrono::seconds(1);
        std::size_t maxWaiting = 1'024;
    };

    // An upstream whose places may be lent.
    struct Upstream
    {
        std::uint64_t id = 0; // hash of its instance id
        std::size_t slots = 1;
        std::size_t running = 0; // requests of all nodes, as the nodes have exchanged it
    };

    explicit PlaceLender(const Clock &clock) : PlaceLender(clock, Limits{}) { }
    PlaceLender(const Clock &clock, Limits limits)
        : m_clock(clock), m_limits(limits), m_retries(clock),
          m_stallDetector(clock, limits.minStall)
    { }

    // Lends nothing until other processes have had time to report their open requests, because this
    // process has not received the exchanged loads for long enough either.
    void waitForReports();

    // Another process takes this one for a lender.
    void recordPeer();

    // Whether it lends at all.
    bool isOpen() const { return m_clock.now() >= m_closedUntil; }

    // Replaces the upstreams. Places at others are no longer counted.
    void setUpstreams(const std::vector<Upstream> &upstreams);

    // Requests a place. The reply is among the next replies, or among later ones if the request
    // waits.
    void request(const PlaceRequest &request);

    // The request with this place has ended. `wasRejected`: by the upstream, for want of room.
    void giveBack(const PlacementId &id, bool wasRejected);

    void apply(const PlaceReport &report);

    // A decision that was made since the last call, with the process that it is for.
    struct Decision
    {
        std::uint64_t process = 0;
        PlaceReply reply;
    };
    std::vector<Decision> takeDecisions();

    // Periodic work.
    void tick();

    // Whether nothing has been sent to this lender for so long that it need not be kept.
    bool isIdle() const;

    std::size_t lentPlaces() const { return m_places.size(); }
    std::size_t waitingRequests() const { return m_waiting.size(); }

private:
    struct UpstreamState
    {
        std::size_t slots = 1;
        std::size_t running = 0;
        std::size_t limit = 1; // places that are lent at most
        std::size_t lent = 0;
        TimePoint closedUntil{};
        TimePoint limitChangedAt{};
    };
    struct Place
    {
        std::uint64_t upstream = 0;
        TimePoint lentAt{};
        TimePoint expiresAt{};
    };
    struct Waiting
    {
        PlaceRequest request;
        TimePoint until{};
    };
    struct ProcessState
    {
        std::vector<PlaceReport::Count> others;
        TimePoint reportedAt{};
    };

    static std::size_t usableSlots(std::size_t slots);
    bool isWarm() const;
    void recordActivity();
    void checkForStall();
    std::size_t openAt(std::uint64_t id, const UpstreamState &upstream) const;
    bool hasPlace(std::uint64_t id, const UpstreamState &upstream) const;
    bool tryLend(const PlaceRequest &request);
    void lend(const PlaceRequest &request, std::uint64_t upstream);
    void reject(const PlaceRequest &request);
    void serveWaiting();
    void removePlace(std::map<PlacementId, Place>::iterator place);
    void recordRejection(std::uint64_t upstream);
    void setOthers(ProcessState &process, std::vector<PlaceReport::Count> others);
    double givenBackPerSecond() const;
    std::size_t totalLimit() const;

    const Clock &m_clock;
    const Limits m_limits;
    std::unordered_map<std::uint64_t, UpstreamState> m_upstreams;
    std::map<PlacementId, Place> m_places;
    std::unordered_map<std::uint64_t, ProcessState> m_processes;
    std::unordered_map<std::uint64_t, std::size_t> m_others; // sums of the reports, by upstream
    std::deque<Waiting> m_waiting;
    std::vector<Decision> m_decisions;
    std::deque<TimePoint> m_givenBack; // within the last second
    RetrySchedule m_retries;
    std::optional<TimePoint> m_activeSince;
    TimePoint m_lastActivity{};
    TimePoint m_nextTick{};
    StallDetector m_stallDetector;
    TimePoint m_closedUntil{}; // no place is lent before
    bool m_hasPeerSinceClosed = false;
};

} // namespace fordwood

#endif // FORDWOOD_PLACE_LENDER_HPP_INCLUDED
