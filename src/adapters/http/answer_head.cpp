// SPDX-License-Identifier: MIT
#include "adapters/http/answer_head.hpp"

#include <boost/beast/http/error.hpp>

namespace fordwood::adapters {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;

} // namespace

boost::system::error_code checkAnswerHead(const http::response_header<> &head)
{
    if (head.result_int() < kFirstStatus || head.result_int() > kLastStatus)
        return http::error::bad_status;
    return {};
}

} // namespace fordwood::adapters
