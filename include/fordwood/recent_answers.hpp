// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_RECENT_ANSWERS_HPP_INCLUDED
#define FORDWOOD_RECENT_ANSWERS_HPP_INCLUDED

#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/request_fingerprint.hpp"

namespace fordwood {

// Which requests upstreams have answered of late, as far as they fit into a table of fixed size: a
// newer answer takes the place of an older one. Requests that many callers ask for are in it again
// and again.
class RecentAnswers
{
public:
    explicit RecentAnswers(const Clock &clock);

    void note(const RequestFingerprint &request);

    // Whether an upstream has answered the request within the last minute. Longer ago does not
    // count: other weights may be in force, or another version of a service.
    bool contains(const RequestFingerprint &request) const;

private:
    struct Slot
    {
        RequestFingerprint request;
        TimePoint when{};
    };

    const Clock &m_clock;
    std::vector<Slot> m_slots;
};

} // namespace fordwood

#endif // FORDWOOD_RECENT_ANSWERS_HPP_INCLUDED
