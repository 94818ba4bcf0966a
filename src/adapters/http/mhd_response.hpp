// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_HTTP_MHD_RESPONSE_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_HTTP_MHD_RESPONSE_HPP_INCLUDED

#include <microhttpd.h>

#include "adapters/http/direct_answer.hpp"

namespace fordwood::adapters {

// Adds headers to a response of the HTTP library.
void addHeaders(MHD_Response *response, const Headers &headers);

// Queues a complete answer on a connection.
MHD_Result queueAnswer(MHD_Connection *connection, const DirectAnswer &answer);

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_MHD_RESPONSE_HPP_INCLUDED
