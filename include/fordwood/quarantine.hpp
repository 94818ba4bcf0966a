// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_QUARANTINE_HPP_INCLUDED
#define FORDWOOD_QUARANTINE_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/request_fingerprint.hpp"

namespace fordwood {

// A failure or success of one request, as nodes report it to each other.
struct QuarantineUpdate
{
    RequestFingerprint request;
    // The hash of the upstream instance that disconnected while it ran the request. Empty: an
    // upstream has completed the request.
    std::optional<std::uint64_t> failedInstance;

    bool operator==(const QuarantineUpdate &) const = default;
};

// Detects poison requests and poison parts of prompts, which crash the upstreams that run them,
// from the reports of all nodes. Reports may arrive in any order and more than once: nodes that
// have received the same reports reach the same result. A poison request is sent again and again,
// to any node and under a new id each time, and each upstream that starts to run it ends, with all
// other requests running there. In a fleet of 18 engines such a request ended 19 engines, twelve of
// them within eight seconds.
class Quarantine
{
public:
    struct Limits
    {
        // The number of upstream instances that end while running a request before it is held. Many
        // innocent requests run beside a poison request, and some are retried beside it on a second
        // upstream; hardly any runs beside it on a third.
        std::size_t failuresToHold = 3;
        // How long a request is held after the last failure. Then it may be tried again; one more
        // failure holds it again.
        Duration holdFor = std::chrono::minutes(10);
        // When the record of a request is dropped, counted from the last report on it.
        Duration forgetAfter = std::chrono::hours(1);
        // How long a successful response clears a request. Later, other weights or another version
        // of the service may be in use.
        Duration answerValidFor = std::chrono::minutes(1);
        // The same for a part of a prompt, which many requests may have, so that answers are
        // frequent.
        Duration partAnswerValidFor = std::chrono::seconds(10);
        // When a part that has not been held is dropped: parts of sound requests are now and then
        // present where an upstream ends.
        Duration forgetPartAfter = std::chrono::minutes(2);
        // Failures from which on a request with the part is not repeated after another one.
        std::size_t failuresToSuspect = 2;
        // Failed instances that are recorded per request; further ones only extend the hold.
        std::size_t maxInstances = 32;
        // Recorded requests; beyond this number the entries with the oldest reports that are not
        // held are dropped.
        std::size_t maxRequests = 2'048;
    };

    explicit Quarantine(const Clock &clock) : Quarantine(clock, Limits{}) { }
    Quarantine(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    // Returns false if the report was known before, or a successful response has cleared the
    // request.
    bool apply(const QuarantineUpdate &update);

    // Whether upstreams have ended while running the request, and none has completed it.
    bool isSuspect(const RequestFingerprint &request) const;

    // Whether the request must not be sent to any upstream.
    bool isHeld(const RequestFingerprint &request) const;

    // The part for which a prompt with these parts must not be sent to any upstream; empty: it may
    // be sent. A part is held only together with its company, which are the other suspect parts
    // that were present at each of its failures: which of them is the poison is not known, and
    // prompts that have only one of them find it out.
    std::optional<RequestFingerprint>
    findHeldPart(const std::vector<RequestFingerprint> &parts) const;

    // Whether upstreams have ended in a row while running requests with one of the parts.
    bool isAnySuspect(const std::vector<RequestFingerprint> &parts) const;

    // The time since the last failure of a request or part; empty: none is known.
    std::optional<Duration> sinceLastFailure(const RequestFingerprint &request) const;

    // The remaining hold time; zero: not held.
    Duration heldFor(const RequestFingerprint &request) const;

    // The upstream instances that ended while running the request.
    std::vector<std::uint64_t> failedInstancesOf(const RequestFingerprint &request) const;

    // isEmpty(): whether no request is recorded. heldRequests(): the number of requests held now.
    bool isEmpty() const { return m_entries.empty(); }
    std::size_t heldRequests() const;

    // Drops old entries.
    void tick();

private:
    struct Entry
    {
        std::vector<std::uint64_t> failedInstances; // sorted
        bool isAnswered = false;
        TimePoint heldUntil{};
        TimePoint lastUpdate{};
    };

    bool recordAnswer(const RequestFingerprint &request);
    bool recordFailure(const RequestFingerprint &request, std::uint64_t instance);
    bool isHeld(const Entry &entry) const;
    Duration lifetime(const RequestFingerprint &request, const Entry &entry) const;
    bool hasCompanyOutside(const RequestFingerprint &part, const Entry &entry,
                           const std::vector<RequestFingerprint> &parts) const;
    void evictOldest();

    const Clock &m_clock;
    const Limits m_limits;
    std::map<RequestFingerprint, Entry> m_entries;
};

} // namespace fordwood

#endif // FORDWOOD_QUARANTINE_HPP_INCLUDED
