// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_RECENT_ANSWERS_HPP_INCLUDED
#define FORDWOOD_RECENT_ANSWERS_HPP_INCLUDED

#include <cstddef>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/request_fingerprint.hpp"

namespace fordwood {

// The requests that upstreams answered recently, in a table of fixed size where a newer answer may
// overwrite an older one. Requests that many callers send are entered again and again.
class RecentAnswers
{
public:
    // `maxAge`: older answers do not count, as other weights or another version of a service may be
    // in use by now.
    RecentAnswers(const Clock &clock, std::size_t slots, Duration maxAge);

    void note(const RequestFingerprint &request);

    // Whether an upstream has answered the request recently.
    bool contains(const RequestFingerprint &request) const;

private:
    struct Slot
    {
        RequestFingerprint request;
        TimePoint when{};
    };

    const Clock &m_clock;
    const Duration m_maxAge;
    std::vector<Slot> m_slots;
};

} // namespace fordwood

#endif // FORDWOOD_RECENT_ANSWERS_HPP_INCLUDED
