// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_REFUSAL_HPP_INCLUDED
#define FORDWOOD_NODE_REFUSAL_HPP_INCLUDED

#include <string>

#include <boost/beast/http/message.hpp>

#include "fordwood/verdict.hpp"

namespace fordwood::node {

// An answer that the node gives itself.
struct Refusal
{
    boost::beast::http::response_header<> head;
    std::string body; // JSON with the reason
};

// Puts a verdict into an answer. A status of 503 is a promise that the request has not run, so it
// stands only where that is so, and then with a time to come back.
Refusal makeRefusal(const Verdict &verdict);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_REFUSAL_HPP_INCLUDED
