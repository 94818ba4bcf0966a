// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_HTTP_HTTP_GET_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_HTTP_HTTP_GET_HPP_INCLUDED

#include <string>

#include <tl/expected.hpp>

#include "fordwood/clock.hpp"

namespace fordwood::adapters {

// A small document fetched by HTTP.
struct HttpDocument
{
    std::string body;
    std::string etag; // the server's ETag; empty when it gave none
    bool isUnchanged = false; // it is still the one of the tag that was sent
};

// Sends a JSON document by POST; blocks for `timeout` at most. Gives the answer's body, or as error
// a text when there was none or its status was an error.
tl::expected<std::string, std::string> httpPost(const std::string &url, const std::string &json,
                                                Duration timeout);

// Fetches a document; blocks for `timeout` at most. With the tag of an earlier fetch the server may
// answer that nothing has changed. The error is a text.
tl::expected<HttpDocument, std::string> httpGet(const std::string &url, Duration timeout,
                                                const std::string &etag = {});

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_HTTP_GET_HPP_INCLUDED
