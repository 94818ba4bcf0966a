// SPDX-License-Identifier: MIT
// Timers whose expiry is handled in the same turn as what cancels them.
#include "node/timeout_timer.hpp"

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
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

// Guards against an awaited answer that has arrived, but counts as missing since the time limit is
// handled before all of it is read.
TEST_CASE("timeout timer: all input that arrived during a suspension is handled before an expiry "
          "[freeze]")
{
    net::io_context context;
    net::local::stream_protocol::socket sender(context);
    net::local::stream_protocol::socket receiver(context);
    net::local::connect_pair(sender, receiver);
    TimeoutTimer timer(context);
    std::string events;
    std::array<char, 1> byte{};
    std::function<void()> read = [&] {
        receiver.async_read_some(net::buffer(byte), [&](const ErrorCode &, std::size_t) {
            events += byte[0];
            if (byte[0] != '.')
                read();
        });
    };
    read();
    timer.start(2ms, [&] { events += " expired"; });
    net::write(sender, net::buffer("0123456789.", 11));
    std::this_thread::sleep_for(5ms);
    context.run();
    CHECK(events == "0123456789. expired");
}

TEST_CASE("timeout timer: input that does not end delays an expiry only so long [freeze]")
{
    net::io_context context;
    TimeoutTimer timer(context);
    bool hasExpired = false;
    std::function<void()> work = [&] {
        if (!hasExpired)
            net::post(context, work);
    };
    work();
    timer.start(1ms, [&] { hasExpired = true; });
    context.run();
    CHECK(hasExpired);
}

TEST_CASE("timeout timer: timers that expire together are all handled, those that an earlier one "
          "cancels are not [freeze]")
{
    net::io_context context;
    TimeoutTimer first(context);
    TimeoutTimer second(context);
    TimeoutTimer third(context);
    std::string expired;
    first.start(1ms, [&] {
        expired += '1';
        second.cancel();
    });
    second.start(2ms, [&] { expired += '2'; });
    third.start(3ms, [&] { expired += '3'; });
    std::this_thread::sleep_for(6ms);
    context.run();
    CHECK(expired == "13");
}
