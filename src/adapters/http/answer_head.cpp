// SPDX-License-Identifier: MIT
#include "adapters/http/answer_head.hpp"

#include <iterator>

#include <boost/beast/core/string.hpp>
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

// Several codings may stand in one field or in several. "identity" is the old name for none.
bool isCodingSupported(const http::response_header<> &head)
{
    const auto [first, last] = head.equal_range(http::field::transfer_encoding);
    if (first == last)
        return true;
    return std::next(first) == last
           && (boost::beast::iequals(first->value(), "chunked")
               || boost::beast::iequals(first->value(), "identity"));
}

} // namespace

boost::system::error_code checkAnswerHead(std::string_view text,
                                          const http::response_header<> &head, bool hasBody)
{
    if (head.result_int() < kFirstStatus || head.result_int() > kLastStatus)
        return http::error::bad_status;
    if (hasFoldedLine(text))
        return http::error::bad_obs_fold;
    if (hasBody && !isCodingSupported(head))
        return http::error::bad_transfer_encoding;
    return {};
}

} // namespace fordwood::adapters
