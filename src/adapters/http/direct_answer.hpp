// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_HTTP_DIRECT_ANSWER_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_HTTP_DIRECT_ANSWER_HPP_INCLUDED

#include <string>

#include "adapters/http/exchange.hpp"

namespace fordwood::adapters {

// An answer that this process gives by itself.
struct DirectAnswer
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    Headers headers;
};

// The answer that tells a verdict.
DirectAnswer answerOf(const Verdict &verdict);

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_DIRECT_ANSWER_HPP_INCLUDED
