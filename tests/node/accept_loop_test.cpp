// SPDX-License-Identifier: MIT
#include <doctest/doctest.h>

#include <vector>

#include "node/accept_loop.hpp"

using namespace fordwood::node;

// Guards against connections that the kernel has accepted, and that are reset as the loop closes.
TEST_CASE("accept loop: connections that wait are accepted before it closes [session][stop]")
{
    net::io_context context;
    std::vector<tcp::socket> accepted;
    AcceptLoop loop(context, [&](tcp::socket it) { accepted.push_back(std::move(it)); });
    ErrorCode ec;
    REQUIRE(loop.listen("127.7.9.1:0", ec));
    const tcp::endpoint address = loop.address();
    std::vector<tcp::socket> callers;
    for (int n = 0; n < 3; ++n) {
        callers.emplace_back(context);
        callers.back().connect(address);
    }
    context.poll(); // the loop has begun to accept
    for (int n = 0; n < 3; ++n) {
        callers.emplace_back(context);
        callers.back().connect(address);
    }
    loop.close();
    CHECK(accepted.size() == callers.size());
    tcp::socket late(context);
    late.connect(address, ec);
    CHECK(ec == net::error::connection_refused);
}
