// SPDX-License-Identifier: MIT
#include "node/connection_end.hpp"

namespace fordwood::node {

std::string_view nameOf(ConnectionEnd end)
{
    switch (end) {
    case ConnectionEnd::Idle:
        return "idle";
    case ConnectionEnd::Answered:
        return "answered";
    case ConnectionEnd::CallerClosed:
        return "caller-closed";
    case ConnectionEnd::CallerFailed:
        return "caller-failed";
    case ConnectionEnd::CallerLeft:
        return "caller-left";
    case ConnectionEnd::AnswerCut:
        return "answer-cut";
    case ConnectionEnd::AnswerUnread:
        return "answer-unread";
    case ConnectionEnd::Stopped:
        return "stopped";
    }
    return "unknown";
}

std::string_view nameOf(RequestLeft request)
{
    switch (request) {
    case RequestLeft::None:
        return "none";
    case RequestLeft::Partial:
        return "partial";
    case RequestLeft::Open:
        return "open";
    case RequestLeft::Undelivered:
        return "undelivered";
    }
    return "unknown";
}

} // namespace fordwood::node
