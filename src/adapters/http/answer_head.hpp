// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_HTTP_ANSWER_HEAD_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_HTTP_ANSWER_HEAD_HPP_INCLUDED

#include <string_view>

#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

namespace fordwood::adapters {

// Checks the head of an answer for what Boost.Beast's parser accepts and a caller must not get.
// `text` is the head as it arrived, up to and with its blank line; `hasBody`: whether a body
// follows. Returns why the answer is not valid:
// - bad_status: a status outside 100 to 599 (RFC 9110, section 15)
// - bad_obs_fold: a line that continues the one before, whose value the parser changes (RFC 9112,
//   section 5.2)
// - bad_transfer_encoding: a body with another coding than chunked, which no request asks for; the
//   field is not passed on, and the body would be taken for one that is not encoded
boost::system::error_code checkAnswerHead(std::string_view text,
                                          const boost::beast::http::response_header<> &head,
                                          bool hasBody);

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_ANSWER_HEAD_HPP_INCLUDED
