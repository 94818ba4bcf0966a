// SPDX-License-Identifier: MIT
// Callers of the entry daemon that keep to no limit: it lives, stays within the memory of its VM,
// and serves others.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "process/fleet.hpp"
#include "process/hostile_crowd.hpp"

using namespace fordwood::process;

namespace {

// What control may take of a VM at the size to design for.
constexpr std::size_t kMaxMemory = 128'000'000;
constexpr std::size_t kMaxDescriptors = 4'100;

FleetSize oneOfEach()
{
    FleetSize size;
    size.nodes = size.engines = size.domains = 1;
    return size;
}

void checkServes(const Fleet &fleet, std::size_t promptBytes = 1)
{
    const std::string prompt(promptBytes, 'a');
    const HttpAnswer answer = httpCall(
        "POST", fleet.caller(0) + "/v1/chat/completions",
        R"({"model":"m","max_tokens":2,"messages":[{"role":"user","content":")" + prompt + "\"}]}",
        {Fleet::bearer(), "Content-Type: application/json"});
    CHECK(answer.status == 200);
    CHECK(answer.isComplete);
}

void play(const Fleet &fleet, const Form &form, Crowd crowd)
{
    CAPTURE(form.name);
    {
        HostileCrowd callers(fleet.entryAddress(0), form, crowd);
        std::size_t peak = callers.run(fleet.entryds[0]);
        checkServes(fleet);
        peak = std::max(peak, fleet.entryds[0].usage().residentBytes);
        CHECK(peak <= kMaxMemory);
        CHECK(fleet.entryds[0].descriptors() <= kMaxDescriptors);
    }
    checkServes(fleet);
}

} // namespace

// Guards against a process that runs out of memory by what a few callers send without end.
TEST_CASE("hostile callers: input without end at the entry daemon takes bounded memory [hostile]")
{
    Fleet fleet(oneOfEach());
    fleet.start();
    checkServes(fleet);
    const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n" + Fleet::bearer()
                             + "\r\nTransfer-Encoding: chunked\r\n";
    for (const Form &it : endlessForms(head))
        play(fleet, it, {8, 16'000'000});
}

// Guards against bounds for each connection that together exceed the VM's memory.
TEST_CASE("hostile callers: bodies that do not end, of many callers, take bounded memory at the "
          "entry daemon [hostile]")
{
    Fleet fleet(oneOfEach());
    fleet.start();
    const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n" + Fleet::bearer()
                             + "\r\nContent-Length: 1000000\r\n\r\n";
    play(fleet, {"bodies", head, std::string(1'000, 'a')}, {400, 500'000});
}

// Guards against a few callers that announce large bodies, send none, and shut all others out.
TEST_CASE("hostile callers: announced bodies that do not come shut no other body out at the entry "
          "daemon [hostile]")
{
    Fleet fleet(oneOfEach());
    fleet.start();
    const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n" + Fleet::bearer()
                             + "\r\nContent-Length: 4194304\r\n\r\n";
    HostileCrowd callers(fleet.entryAddress(0), {"announced bodies", head, ""}, {16, head.size()});
    callers.run(fleet.entryds[0]);
    for (const std::size_t it : {1U, 8'000U, 100'000U}) {
        CAPTURE(it);
        checkServes(fleet, it);
    }
}
