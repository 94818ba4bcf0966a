// SPDX-License-Identifier: MIT
// A real node that is frozen while its callers send and its upstreams answer.
#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "process/node_deployment.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;
namespace net = boost::asio;

namespace {

constexpr int kCallers = 6; // the upstreams run eight requests at once

} // namespace

// Guards against 504 for requests whose answers had arrived when the node went on.
TEST_CASE("frozen node: answers that arrived during the freeze are delivered, although the time "
          "limits have passed [node][freeze]")
{
    Deployment fleet;
    fleet.start();
    fleet.first.setHeld(true);
    fleet.second.setHeld(true);
    std::vector<std::future<HttpAnswer>> answers;
    answers.reserve(kCallers);
    for (int n = 0; n < kCallers; ++n)
        answers.push_back(std::async(std::launch::async, [&fleet, n] {
            return httpCall("POST", fleet.url(0, "/once/1"), "body",
                            {"Host: a.example", "Request-Id: r-" + std::to_string(n),
                             "Credential: key-t", "Request-Deadline: 1000"});
        }));
    REQUIRE(Fleet::waitFor(
        [&] { return fleet.first.totalRuns() + fleet.second.totalRuns() == kCallers; }));
    fleet.nodes[0].signal(SIGSTOP);
    fleet.first.setHeld(false);
    fleet.second.setHeld(false);
    std::this_thread::sleep_for(1'500ms);
    fleet.nodes[0].signal(SIGCONT);
    for (auto &it : answers) {
        const HttpAnswer answer = it.get();
        CHECK(answer.status == 200);
        CHECK(answer.isComplete);
    }
}

// Guards against 408, which promises that a request does not run, for requests that then run, and
// against the end of the node when their answers come.
TEST_CASE("frozen node: requests whose heads end during the freeze run and are answered "
          "[node][freeze]")
{
    Deployment fleet;
    fleet.start();
    net::io_context context;
    std::vector<net::ip::tcp::socket> callers;
    callers.reserve(kCallers);
    const auto head = [](int n) {
        return "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-" + std::to_string(n)
               + "\r\nCredential: key-t\r\nRequest-Deadline: 10000\r\nContent-Length: 0\r\n"
                 "Connection: close\r\n\r\n";
    };
    constexpr std::size_t kFirstPart = 60;
    for (int n = 0; n < kCallers; ++n) {
        callers.emplace_back(context).connect({net::ip::make_address(fleet.host(0)), 8080});
        net::write(callers.back(), net::buffer(head(n), kFirstPart));
    }
    std::this_thread::sleep_for(100ms); // the node reads the first parts
    fleet.nodes[0].signal(SIGSTOP);
    for (int n = 0; n < kCallers; ++n)
        net::write(callers[static_cast<std::size_t>(n)], net::buffer(head(n).substr(kFirstPart)));
    std::this_thread::sleep_for(1s); // the time for reading a head passes
    fleet.nodes[0].signal(SIGCONT);
    for (int n = 0; n < kCallers; ++n) {
        std::string answer(4'096, '\0');
        boost::system::error_code ec;
        answer.resize(callers[static_cast<std::size_t>(n)].read_some(net::buffer(answer), ec));
        CHECK_MESSAGE(answer.starts_with("HTTP/1.1 200"), answer);
        const std::string id = "r-" + std::to_string(n);
        CHECK(fleet.first.runs(id) + fleet.second.runs(id) == 1);
    }
    CHECK(fleet.isReady(0));
}
