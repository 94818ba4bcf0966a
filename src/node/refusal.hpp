// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_REFUSAL_HPP_INCLUDED
#define FORDWOOD_NODE_REFUSAL_HPP_INCLUDED

#include <chrono>
#include <string>

#include <boost/beast/http/message.hpp>

#include "fordwood/verdict.hpp"

namespace fordwood::node {

// An error answer that the node itself generates.
struct Refusal
{
    boost::beast::http::response_header<> head;
    std::string body; // JSON with the reason
};

// The text of a Retry-After field: seconds with a fraction, which callers accept.
std::string secondsText(std::chrono::milliseconds time);

// Makes the answer for a verdict. Status 503 guarantees that the request has not run, so it is used
// only in that case, with a Retry-After if the verdict has a retry time.
Refusal makeRefusal(const Verdict &verdict);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_REFUSAL_HPP_INCLUDED
