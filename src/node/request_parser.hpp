// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_REQUEST_PARSER_HPP_INCLUDED
#define FORDWOOD_NODE_REQUEST_PARSER_HPP_INCLUDED

#include <boost/beast/http.hpp>

#include "node/net.hpp"

namespace fordwood::node {

namespace http = boost::beast::http;

// Parses a caller's request, and counts what its head takes in memory. A field that is too long for
// Boost.Beast to hold ends the parsing with header_limit; Beast's own parser throws, which would
// end the process. The configuration may allow heads longer than that.
class RequestParser : public http::request_parser<http::string_body>
{
public:
    // A head of many small fields takes many times its size.
    std::size_t headBytes() const { return m_headBytes; }

private:
    // What Boost.Beast and the allocator need for a field besides its text.
    static constexpr std::size_t kFieldOverhead = 96;
    static constexpr std::size_t kMaxFieldBytes = 65'000; // of the name or the value

    void on_field_impl(http::field name, boost::beast::string_view nameText,
                       boost::beast::string_view value, ErrorCode &ec) override
    {
        if (nameText.size() > kMaxFieldBytes || value.size() > kMaxFieldBytes)
            ec = http::error::header_limit;
        else
            get().insert(name, nameText, value);
        m_headBytes += nameText.size() + value.size() + kFieldOverhead;
    }

    std::size_t m_headBytes = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_REQUEST_PARSER_HPP_INCLUDED
