// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_HTTP_HTTP_GET_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_HTTP_HTTP_GET_HPP_INCLUDED

#include <string>

#include <tl/expected.hpp>

#include "fordwood/clock.hpp"

namespace fordwood::adapters {

// A small document fetched over HTTP.
struct HttpDocument
{
    std::string body;
    std::string etag; // the server's ETag; empty if it sent none
    bool isUnchanged = false; // the document still matches the ETag that was sent
};

// Sends a JSON document by POST, blocking for at most `timeout`. Returns the body of the answer, or
// an error message if there was no answer or its status was an error.
tl::expected<std::string, std::string> httpPost(const std::string &url, const std::string &json,
                                                Duration timeout);

// Fetches a document, blocking for at most `timeout`. If given the ETag of an earlier fetch, the
// server may answer that the document is unchanged. On failure returns an error message.
tl::expected<HttpDocument, std::string> httpGet(const std::string &url, Duration timeout,
                                                const std::string &etag = {});

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_HTTP_GET_HPP_INCLUDED
