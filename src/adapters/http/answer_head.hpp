// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_HTTP_ANSWER_HEAD_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_HTTP_ANSWER_HEAD_HPP_INCLUDED

#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

namespace fordwood::adapters {

// Checks the head of an answer for what Boost.Beast's parser accepts and a caller must not get.
// Returns why the answer is not valid: bad_status for a status outside 100 to 599 (RFC 9110, 15).
boost::system::error_code checkAnswerHead(const boost::beast::http::response_header<> &head);

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_ANSWER_HEAD_HPP_INCLUDED
