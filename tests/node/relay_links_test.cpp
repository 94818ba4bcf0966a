// SPDX-License-Identifier: MIT
// What the nodes of a large failure domain hear of changes, with links of limited rates.
#include <doctest/doctest.h>

#include "support/linked_domain.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

// A change has to be in force within two seconds; reading it takes part of that.
constexpr Duration kKnownWithin = 1s;

// Where relays are lost, a change has to be in force within five seconds.
constexpr Duration kKnownWithinAfterLoss = 3s;

// Starts the domain and lets loads and changes begin.
void begin(LinkedDomain &domain)
{
    domain.run(3s);
    REQUIRE(domain.relays().size() == 2);
    domain.resetRecords();
    domain.addLoad();
    domain.changeEvery(100ms);
}

bool isStrong(const LinkedDomain::Node *node)
{
    return node->link == LinkedDomain::kStrongLink;
}

} // namespace

// Guards against changes that some nodes of a domain do not hear of: the sums that a relay sent to
// all nodes at once were more than its link queues, and those at the end of the list got none.
TEST_CASE("relay links: all nodes hear of each change while the sums are large [relays][changes]")
{
    LinkedDomain domain({10, 160, 350});
    begin(domain);
    domain.run(5s);
    CHECK(domain.roleChanges() == 0);
    CHECK(domain.longestLag() <= kKnownWithin);
    CHECK(domain.relays().size() == 2);
}

TEST_CASE("relay links: the same with sums of thousands of upstreams, and on weak VMs alone "
          "[relays][changes]")
{
    for (const LinkedDomain::Size size :
         {LinkedDomain::Size{4, 60, 2'500}, LinkedDomain::Size{0, 100, 350}}) {
        CAPTURE(size.upstreams);
        LinkedDomain domain(size);
        begin(domain);
        domain.run(4s);
        CHECK(domain.roleChanges() == 0);
        CHECK(domain.longestLag() <= kKnownWithin);
    }
}

TEST_CASE("relay links: with one message in ten lost, all nodes hear of each change and no node "
          "takes over [relays][changes]")
{
    LinkedDomain domain({10, 160, 350});
    begin(domain);
    domain.loseEveryNth(10);
    domain.run(4s);
    CHECK(domain.roleChanges() == 0);
    CHECK(domain.longestLag() <= kKnownWithin);
}

TEST_CASE("relay links: when a relay falls silent, the other one serves and a strong VM takes over "
          "[relays][changes]")
{
    LinkedDomain domain({10, 160, 350});
    begin(domain);
    domain.cutOff(*domain.relays().front());
    domain.run(4s);
    // The next two in rank take over together, and one of them steps down.
    CHECK(domain.roleChanges() <= 3);
    CHECK(domain.longestLag() <= kKnownWithin);
    REQUIRE(domain.relays().size() == 2);
    CHECK(isStrong(domain.relays()[0]));
    CHECK(isStrong(domain.relays()[1]));
}

TEST_CASE("relay links: when both relays fall silent, few others take over and all hear of changes "
          "[relays][changes]")
{
    LinkedDomain domain({10, 160, 350});
    begin(domain);
    for (LinkedDomain::Node *it : domain.relays())
        domain.cutOff(*it);
    domain.run(4s);
    CHECK(domain.longestLag() <= kKnownWithinAfterLoss);
    CHECK(domain.roleChanges() <= 4);
    for (const LinkedDomain::Node *it : domain.relays())
        CHECK(isStrong(it));
}
