// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_HTTP_HTTP_GET_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_HTTP_HTTP_GET_HPP_INCLUDED

#include <string>

#include <tl/expected.hpp>

#include "fordwood/clock.hpp"

namespace fordwood::adapters {

// Fetches a small document by HTTP; blocks for `timeout` at most. The error is a text.
tl::expected<std::string, std::string> httpGet(const std::string &url, Duration timeout);

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_HTTP_GET_HPP_INCLUDED
