// SPDX-License-Identifier: MIT
// A VM may be suspended for seconds. The steady clock does not count that time, so a node that took
// its time from there would believe on waking that a lease is still its own which others hold by
// now, and would give an upstream more time than a caller has left. This program puts its own
// clock_gettime before that of the C library, to suspend itself.
#include <doctest/doctest.h>

#include <ctime>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <sys/syscall.h>
#include <unistd.h>

#include "adapters/system_clock.hpp"
#include "fordwood/fenced_lock.hpp"
#include "node/deadline_timer.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

std::chrono::seconds suspendedTime{0};

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
    if (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME)
        time->tv_sec += suspendedTime.count();
    return result;
}

TEST_CASE("system clock: the time in which the VM was suspended counts")
{
    const adapters::SystemClock clock;
    const TimePoint before = clock.now();
    suspendedTime += 5s;
    CHECK(clock.now() - before >= 5s);
    const TimePoint after = clock.now();
    CHECK(clock.now() >= after);
}

TEST_CASE("system clock: a lock whose lease ran out while its holder was suspended is not held")
{
    const adapters::SystemClock clock;
    FencedLock::Limits limits;
    limits.ttl = 1h;
    FencedLock lock("lock", "n1", clock, limits);
    lock.keyChanged(nullptr);
    REQUIRE(lock.tick().size() == 1);
    lock.leaseGranted(7, limits.ttl, clock.now());
    REQUIRE(lock.tick().size() == 1);
    lock.acquireAnswered(WriteResult::Done, 9);
    REQUIRE(lock.holding());
    suspendedTime += 2h;
    CHECK_FALSE(lock.holding());
}

TEST_CASE("system clock: a deadline that passed while the VM was suspended is noticed on waking")
{
    boost::asio::io_context context;
    const adapters::SystemClock clock;
    bool hasPassed = false;
    node::DeadlineTimer deadline(context);
    deadline.expires_at(clock.now() + 1h);
    deadline.async_wait([&](const boost::system::error_code &ec) { hasPassed = !ec; });
    suspendedTime += 2h;
    // A thread's regular work wakes it.
    boost::asio::steady_timer work(context);
    work.expires_after(1ms);
    work.async_wait([](const boost::system::error_code &) {});
    while (!hasPassed && context.run_one() > 0) { }
    CHECK(hasPassed);
}
