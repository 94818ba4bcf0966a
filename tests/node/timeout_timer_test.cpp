// SPDX-License-Identifier: MIT
// Timers whose expiry is handled in the same turn as what cancels them.
#include "node/timeout_timer.hpp"

#include <optional>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

// A timer that has expired during a suspension, together with an earlier event that is handled in
// the same turn.
struct SuspendedProcess
{
    SuspendedProcess() : event(context, 1ms), timer(std::in_place, context)
    {
        timer->start(2ms, [this] { ++expiries; });
    }

    template <typename Handler>
    void resume(Handler onEvent)
    {
        event.async_wait([onEvent](const ErrorCode &) { onEvent(); });
        std::this_thread::sleep_for(5ms);
        context.poll();
    }

    net::io_context context;
    net::steady_timer event;
    std::optional<TimeoutTimer> timer;
    int expiries = 0;
};

} // namespace

TEST_CASE("timeout timer: an expiry that is queued already is not handled after the timer was "
          "cancelled, restarted or destroyed [freeze]")
{
    SuspendedProcess process;
    SUBCASE("cancelled")
    {
        process.resume([&] { process.timer->cancel(); });
    }
    SUBCASE("restarted")
    {
        process.resume([&] { process.timer->start(1h, [] {}); });
    }
    SUBCASE("destroyed")
    {
        process.resume([&] { process.timer.reset(); });
    }
    CHECK(process.expiries == 0);
}

TEST_CASE("timeout timer: an expiry is handled once [freeze]")
{
    SuspendedProcess process;
    process.resume([] {});
    CHECK(process.expiries == 1);
}
