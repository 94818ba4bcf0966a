// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_REFUSAL_HPP_INCLUDED
#define FORDWOOD_NODE_REFUSAL_HPP_INCLUDED

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

// Makes the answer for a verdict. Status 503 guarantees that the request has not run, so it is used
// only in that case, with a Retry-After if the verdict has a retry time.
Refusal makeRefusal(const Verdict &verdict);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_REFUSAL_HPP_INCLUDED
