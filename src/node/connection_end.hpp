// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CONNECTION_END_HPP_INCLUDED
#define FORDWOOD_NODE_CONNECTION_END_HPP_INCLUDED

#include <string_view>

namespace fordwood::node {

// Why a node closes the connection of a caller. docs/design/30-ends-of-connections.md lists what
// each may leave of a request.
enum class ConnectionEnd {
    Idle, // no request came for too long, or in a planned stop
    Answered, // after an answer that announced the close
    CallerClosed, // no request was open, or one was not whole
    CallerFailed, // the connection has failed: the caller has reset it, or cannot be reached
    CallerLeft, // the caller has ended its input, and nothing shows that it still reads
    AnswerCut, // an answer that had begun could not be completed
    AnswerUnread, // the caller has read nothing of its answer for too long
    Stopped, // the planned stop has ended
};

std::string_view nameOf(ConnectionEnd end);

// What the end of a connection leaves of its last request.
enum class RequestLeft {
    None, // it had been answered, or there was none
    Partial, // not whole
    Open, // whole, without a complete answer
    Undelivered, // answered, and a part of the answer had not reached the caller
};

std::string_view nameOf(RequestLeft request);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CONNECTION_END_HPP_INCLUDED
