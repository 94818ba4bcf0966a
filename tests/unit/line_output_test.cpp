// SPDX-License-Identifier: MIT
#include "adapters/observe/line_output.hpp"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <string>
#include <thread>

using fordwood::adapters::LineOutput;

namespace {

// A non-blocking pipe whose write end a device may replace.
struct Pipe
{
    Pipe() { REQUIRE(pipe2(ends, O_CLOEXEC | O_NONBLOCK) == 0); }
    ~Pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    std::string read()
    {
        std::string text;
        char buf[4'096];
        for (ssize_t n = 0; (n = ::read(ends[0], buf, sizeof buf)) > 0;)
            text.append(buf, static_cast<std::size_t>(n));
        return text;
    }

    int ends[2] = {-1, -1};
};

} // namespace

// Guards against an output that fails for good after an error that passes.
TEST_CASE("log: a line after a full device is written once there is room again [log]")
{
    Pipe pipe;
    LineOutput output(pipe.ends[1]);
    const int kept = dup(pipe.ends[1]);
    const int full = open("/dev/full", O_WRONLY | O_CLOEXEC);
    dup2(full, pipe.ends[1]);
    CHECK(output.write("one\n") == std::errc::no_space_on_device);
    dup2(kept, pipe.ends[1]);
    CHECK_FALSE(output.write("two\n"));
    CHECK(pipe.read() == "two\n");
    close(kept);
    close(full);
}

// Guards against a line that is joined with the beginning of one that was cut by an error.
TEST_CASE("log: a line after one that was written in part begins on a line of its own [log]")
{
    Pipe pipe;
    LineOutput output(pipe.ends[1]);
    const int kept = dup(pipe.ends[1]);
    const int full = open("/dev/full", O_WRONLY | O_CLOEXEC);
    const std::string line(1 << 17, 'x'); // more than the pipe holds
    std::error_code ec;
    std::thread writer([&] { ec = output.write(line + "\n"); });
    pollfd readable{pipe.ends[0], POLLIN, 0};
    poll(&readable, 1, -1);
    dup2(full, pipe.ends[1]);
    const std::string begin = pipe.read();
    writer.join();
    CHECK(ec == std::errc::no_space_on_device);
    CHECK(output.write("two\n") == std::errc::no_space_on_device);
    dup2(kept, pipe.ends[1]);
    CHECK_FALSE(output.write("three\n"));
    CHECK(begin.size() < line.size());
    CHECK(pipe.read() == "\nthree\n");
    close(kept);
    close(full);
}
