// SPDX-License-Identifier: MIT
#include "fordwood/caller_presence.hpp"

namespace fordwood {

bool EndedInput::isCallerWaiting() const
{
    // After the announcement the caller has no more use for its sending side.
    if (hasBegun)
        return isCloseAnnounced || hasTakenMore;
    // What may neither be repeated nor is a stream has run in any case once it is cut.
    return isAtUpstream && !mayRunAgain && !isStreamed;
}

} // namespace fordwood
