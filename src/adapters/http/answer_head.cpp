// SPDX-License-Identifier: MIT
#include "adapters/http/answer_head.hpp"

#include <boost/beast/http/error.hpp>

namespace fordwood::adapters {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;

bool hasFoldedLine(std::string_view head)
{
    return head.find("\n ") != std::string_view::npos
           || head.find("\n\t") != std::string_view::npos;
}

} // namespace

boost::system::error_code checkAnswerHead(std::string_view text,
                                          const http::response_header<> &head)
{
    if (head.result_int() < kFirstStatus || head.result_int() > kLastStatus)
        return http::error::bad_status;
    if (hasFoldedLine(text))
        return http::error::bad_obs_fold;
    return {};
}

} // namespace fordwood::adapters
