// SPDX-License-Identifier: MIT
// A VM may be suspended for seconds, and the steady clock does not count that time. A node that
// used it would, after resuming, treat an expired lease as still valid while another node holds it,
// and allow an upstream more time than the caller has left. This program overrides clock_gettime of
// the C library to simulate a suspension.
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

TEST_CASE("system clock: includes the time while the VM was suspended")
{
    const adapters::SystemClock clock;
    const TimePoint before = clock.now();
    suspendedTime += 5s;
    CHECK(clock.now() - before >= 5s);
    const TimePoint after = clock.now();
    CHECK(clock.now() >= after);
}

TEST_CASE("system clock: a lock is not held if its lease expired while the holder was suspended")
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

TEST_CASE(
    "system clock: a deadline that passed while the VM was suspended is detected after resuming")
{
    boost::asio::io_context context;
    const adapters::SystemClock clock;
    bool hasPassed = false;
    node::DeadlineTimer deadline(context);
    deadline.startUntil(clock.now() + 1h, [&] { hasPassed = true; });
    suspendedTime += 2h;
    // Stands for the regular work of a thread, which wakes it up.
    boost::asio::steady_timer work(context);
    work.expires_after(1ms);
    work.async_wait([](const boost::system::error_code &) {});
    while (!hasPassed && context.run_one() > 0) { }
    CHECK(hasPassed);
}
