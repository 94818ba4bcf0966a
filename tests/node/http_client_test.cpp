// SPDX-License-Identifier: MIT
// The node's own calls, to the store, to peers and to stores of kept context.
#include "node/http_client.hpp"

#include <atomic>
#include <future>
#include <optional>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <unistd.h>

#include "fordwood/manual_clock.hpp"
#include "standins/blocking_server.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

// Guards against a store or a peer that counts as unreachable after each freeze of the node.
TEST_CASE("http client: an answer that arrived during a freeze is taken, although the time limit "
          "has passed [freeze]")
{
    const std::string address
        = "127.73.2.1:" + std::to_string(20'000 + static_cast<int>(getpid()) % 20'000);
    std::atomic<bool> hasArrived{false};
    std::promise<void> answerAllowed;
    const standins::BlockingServer server(address, [&](const standins::Request &) {
        hasArrived = true;
        answerAllowed.get_future().wait();
        standins::Answer answer;
        answer.body = std::string(30'000, 'x'); // takes several reads
        return answer;
    });
    REQUIRE(server.listening());
    net::io_context context;
    const ManualClock clock;
    HttpClient client(context, clock);
    HttpCall call;
    call.address = address;
    call.method = "GET";
    call.target = "/";
    std::optional<HttpResult> result;
    constexpr Duration kTimeLimit = 300ms;
    client.send(call, kTimeLimit, [&](const HttpResult &it) { result = it; });
    while (!hasArrived)
        context.run_one_for(10ms);
    answerAllowed.set_value();
    std::this_thread::sleep_for(2 * kTimeLimit);
    while (!result)
        context.run_one_for(10ms);
    REQUIRE(result->has_value());
    CHECK((*result)->body.size() == 30'000);
}
