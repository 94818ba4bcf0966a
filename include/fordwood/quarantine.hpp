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

// What nodes tell each other of one request.
struct QuarantineUpdate
{
    RequestFingerprint request;
    // The life of an upstream, by hash, that broke off while the request was there. Nothing: an
    // upstream has answered the request whole.
    std::optional<std::uint64_t> failedInstance;

    bool operator==(const QuarantineUpdate &) const = default;
};

// Which requests end the upstreams that run them, by the word of all nodes. News may come in any
// order and more than once: all nodes that have heard the same know the same.
//
// The load pattern that it answers: one request comes again and again, at any node and under a new
// id each time, and each upstream that begins to run it ends, with all that runs beside it. In a
// fleet that has 18 engines at a time 19 ended so, twelve of them within eight seconds.
class Quarantine
{
public:
    struct Limits
    {
        // Upstreams that have ended under a request before it is held. Many requests are beside one
        // that ends an upstream, and some are tried again beside the next; beside a third hardly
        // any is.
        std::size_t failuresToHold = 3;
        // How long a request is held after the last end. Then it may be tried: one more end holds
        // it again.
        Duration holdFor = std::chrono::minutes(10);
        // When what was known of a request is forgotten, after the last news of it.
        Duration forgetAfter = std::chrono::hours(1);
        // How long an answer speaks for a request: then other weights may be in force, or another
        // version of a service.
        Duration answerValidFor = std::chrono::minutes(1);
        // Lives that are told apart under one request; further ones prolong its hold.
        std::size_t maxInstances = 32;
        // Requests that are remembered; beyond it those of the oldest news that are not held go.
        std::size_t maxRequests = 2'048;
    };

    explicit Quarantine(const Clock &clock) : Quarantine(clock, Limits{}) { }
    Quarantine(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    // False: it was known before, or an answer has shown that the request is not to blame.
    bool apply(const QuarantineUpdate &update);

    // Whether upstreams have ended under the request, and none has answered it.
    bool isSuspect(const RequestFingerprint &request) const;

    // Whether the request may go to no upstream.
    bool isHeld(const RequestFingerprint &request) const;

    // How much longer it is held; zero: it is not.
    Duration heldFor(const RequestFingerprint &request) const;

    // The lives that ended under the request.
    std::vector<std::uint64_t> failedInstancesOf(const RequestFingerprint &request) const;

    // Whether anything is remembered, and what is held now.
    bool isEmpty() const { return m_entries.empty(); }
    std::size_t heldRequests() const;

    // Forgets what is old.
    void tick();

private:
    struct Entry
    {
        std::vector<std::uint64_t> failedInstances;
        bool isAnswered = false;
        TimePoint heldUntil{};
        TimePoint lastUpdate{};
    };

    bool recordAnswer(const RequestFingerprint &request);
    bool recordFailure(const RequestFingerprint &request, std::uint64_t instance);
    bool isHeld(const Entry &entry) const;
    void makeRoom();

    const Clock &m_clock;
    const Limits m_limits;
    std::map<RequestFingerprint, Entry> m_entries;
};

} // namespace fordwood

#endif // FORDWOOD_QUARANTINE_HPP_INCLUDED
