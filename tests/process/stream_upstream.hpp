// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_STREAM_UPSTREAM_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_STREAM_UPSTREAM_HPP_INCLUDED

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "standins/blocking_server.hpp"

namespace fordwood::process {

// Stand-in for an upstream whose streams follow a script.
class StreamUpstream
{
public:
    // What one request gets.
    struct Run
    {
        std::vector<std::string> parts; // sent one after the other, with a pause before each
        std::chrono::milliseconds pause{0};
        bool isCut = false; // the connection closes after the last part, without the stream's end
        int status = 200; // any other: the parts are the body, sent as a whole
    };
    // `after`: the last event that the caller has; zero: none.
    using Script = std::function<Run(int after)>;

    StreamUpstream(const std::string &address, std::string instanceId, Script script)
        : m_instanceId(std::move(instanceId)), m_script(std::move(script)),
          m_server(address, [this](const standins::Request &request) { return answer(request); })
    { }

    static std::string event(int id, std::size_t bytes = 0)
    {
        return "id: " + std::to_string(id) + "\ndata: " + std::to_string(id)
               + std::string(bytes, 'x') + "\n\n";
    }

    // Events from `first` to `last`, each a part of its own.
    static std::vector<std::string> events(int first, int last)
    {
        std::vector<std::string> parts;
        for (int it = first; it <= last; ++it)
            parts.push_back(event(it));
        return parts;
    }

private:
    standins::Answer answer(const standins::Request &request)
    {
        standins::Answer result;
        result.headers["Request-Id"] = request.header("Request-Id");
        if (request.header("Expect-Instance") != m_instanceId) {
            result.status = 421;
            return result;
        }
        result.headers["Response-Seal"] = "sealed-by-" + m_instanceId;
        const std::string last = request.header("Last-Event-Id");
        const auto run = std::make_shared<Run>(m_script(last.empty() ? 0 : std::stoi(last)));
        result.status = run->status;
        if (run->status != 200) {
            for (const std::string &it : run->parts)
                result.body += it;
            return result;
        }
        result.contentType = "text/event-stream";
        result.cutAfterParts = run->isCut;
        result.nextPart = [run, next = std::size_t{0}](bool isClientGone) mutable -> std::string {
            if (isClientGone || next == run->parts.size())
                return "";
            if (run->pause.count() > 0)
                std::this_thread::sleep_for(run->pause);
            return run->parts[next++];
        };
        return result;
    }

    const std::string m_instanceId;
    const Script m_script;
    standins::BlockingServer m_server;
};

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_STREAM_UPSTREAM_HPP_INCLUDED
