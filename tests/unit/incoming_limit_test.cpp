// SPDX-License-Identifier: MIT
#include "fordwood/incoming_limit.hpp"

#include <doctest/doctest.h>

using namespace fordwood;

TEST_CASE("incoming limit: gives up the largest requests of a crowd until the rest fit, and none "
          "that is whole")
{
    IncomingLimit limit(100'000);
    const auto whole = limit.begin();
    limit.resize(whole, 90'000);
    CHECK_FALSE(limit.excess());
    limit.end(whole);
    CHECK(limit.total() == 0);
    const auto ordinary = limit.begin();
    limit.resize(ordinary, 2'000);
    for (int n = 0; n < 1'000; ++n) {
        const auto hostile = limit.begin();
        for (const std::size_t bytes : {10'000U, 60'000U}) {
            limit.resize(hostile, bytes);
            while (const auto largest = limit.excess()) {
                CHECK(*largest != ordinary);
                limit.end(*largest);
            }
        }
        CHECK(limit.total() <= 100'000);
    }
    limit.end(ordinary);
    limit.end(ordinary); // harmless
}
