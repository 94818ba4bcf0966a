// SPDX-License-Identifier: MIT
#include <doctest/doctest.h>

#include <set>

#include "fordwood/request_fingerprint.hpp"

using namespace fordwood;

TEST_CASE("request fingerprint: every part counts, and moving bytes between parts changes it")
{
    const RequestContent request{"POST", "a.example", "/p/1?q=2", "t", "body"};
    std::set<RequestFingerprint> seen{fingerprintOf(request)};
    CHECK(fingerprintOf(request) == *seen.begin());
    const RequestContent others[] = {
        {"GET", "a.example", "/p/1?q=2", "t", "body"},
        {"POST", "b.example", "/p/1?q=2", "t", "body"},
        {"POST", "a.example", "/p/1?q=3", "t", "body"},
        {"POST", "a.example", "/p/1?q=2", "u", "body"},
        {"POST", "a.example", "/p/1?q=2", "t", "bodz"},
        {"POST", "a.example", "/p/1?q=2t", "", "body"},
        {"POST", "a.example", "/p/1?q=2", "tb", "ody"},
    };
    for (const RequestContent &it : others)
        CHECK(seen.insert(fingerprintOf(it)).second);
}

TEST_CASE("request fingerprint: its text form is parsed back, and other text is rejected")
{
    const RequestFingerprint name{0x12, 0xfedcba9876543210};
    CHECK(name.text() == "0000000000000012fedcba9876543210");
    CHECK(RequestFingerprint::parse(name.text()) == name);
    for (const char *it : {"", "12", "0000000000000012fedcba987654321g",
                           "+000000000000012fedcba9876543210", "0000000000000012fedcba98765432100"})
        CHECK_FALSE(RequestFingerprint::parse(it));
}
