// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CALLER_PRESENCE_HPP_INCLUDED
#define FORDWOOD_CALLER_PRESENCE_HPP_INCLUDED

#include "fordwood/clock.hpp"

namespace fordwood {

// What is known of a request whose caller has ended its input. HTTP/1.1 lets a caller close its
// sending side once its request is whole, and to the node this looks like a caller that has left.
// They differ once a part of the answer is sent: the connection of one that has left is reset.
//
// Load pattern: a share of all callers leave before their answers, and the places that they leave
// are needed; a few callers close their sending side, most of them once the head of a stream has
// announced the end of the connection.
struct EndedInput
{
    // How long after the end of the input isCallerWaiting() is asked. Upstreams should have stopped
    // half a second after a caller has left; the rest is for a busy thread and the way to them.
    static constexpr Duration kDecisionTime = std::chrono::milliseconds(300);

    bool isAtUpstream = false; // an upstream may be at work on the request
    bool mayRunAgain = false; // the request may be repeated
    bool isStreamed = false; // the route's answers are streams
    bool hasBegun = false; // a part of the answer has been sent
    bool isCloseAnnounced = false; // by that part
    bool hasTakenMore = false; // another part was sent after the end, without a reset

    // Whether the caller is taken to wait for the rest of its answer.
    bool isCallerWaiting() const;
};

} // namespace fordwood

#endif // FORDWOOD_CALLER_PRESENCE_HPP_INCLUDED
