// SPDX-License-Identifier: MIT
#include "fordwood/fair_queue.hpp"

#include <doctest/doctest.h>

#include <map>

using fordwood::FairQueue;

TEST_CASE(
    "fair queue: teams with waiting entries are served cost in proportion to their shares [shares]")
{
    FairQueue queue;
    FairQueue::EntryId id = 0;
    for (int it = 0; it < 400; ++it) {
        queue.push({++id, "large", 3.0, 10.0, 0});
        queue.push({++id, "small", 1.0, 10.0, 0});
    }
    std::map<std::string, int> served;
    for (int it = 0; it < 200; ++it)
        ++served[queue.pop()->team];
    CHECK(served["large"] >= 149);
    CHECK(served["large"] <= 151);
}

TEST_CASE("fair queue: a team is charged by cost, not by entries [shares]")
{
    FairQueue queue;
    FairQueue::EntryId id = 0;
    for (int it = 0; it < 400; ++it) {
        queue.push({++id, "long", 1.0, 30.0, 0});
        queue.push({++id, "short", 1.0, 10.0, 0});
    }
    std::map<std::string, int> served;
    for (int it = 0; it < 200; ++it)
        ++served[queue.pop()->team];
    CHECK(served["short"] >= 148);
    CHECK(served["short"] <= 152);
}

TEST_CASE("fair queue: an idle team accumulates no credit [shares]")
{
    FairQueue queue;
    FairQueue::EntryId id = 0;
    for (int it = 0; it < 100; ++it)
        queue.push({++id, "busy", 1.0, 1.0, 0});
    for (int it = 0; it < 50; ++it)
        queue.pop();
    for (int it = 0; it < 50; ++it)
        queue.push({++id, "late", 1.0, 1.0, 0});
    std::map<std::string, int> served;
    for (int it = 0; it < 20; ++it)
        ++served[queue.pop()->team];
    CHECK(served["busy"] >= 9);
    CHECK(served["late"] >= 9);
}

TEST_CASE("fair queue: within a team higher priority goes first, then the older entry [priority]")
{
    FairQueue queue;
    queue.push({1, "team", 1.0, 1.0, 0});
    queue.push({2, "team", 1.0, 1.0, 5});
    queue.push({3, "team", 1.0, 1.0, 0});
    CHECK(queue.pop()->id == 2);
    CHECK(queue.pop()->id == 1);
    CHECK(queue.pop()->id == 3);
    CHECK_FALSE(queue.pop());
}

TEST_CASE("fair queue: a removed entry is not served and is not charged [shares]")
{
    FairQueue queue;
    queue.push({1, "a", 1.0, 1000.0, 0});
    queue.push({2, "a", 1.0, 1.0, 0});
    queue.push({3, "b", 1.0, 1.0, 0});
    CHECK(queue.remove(1));
    CHECK_FALSE(queue.remove(1));
    CHECK(queue.size() == 2);
    CHECK(queue.waiting("a") == 1);
    CHECK(queue.pop()->id == 2);
    CHECK(queue.pop()->id == 3);
}
