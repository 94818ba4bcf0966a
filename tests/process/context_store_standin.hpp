// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_CONTEXT_STORE_STANDIN_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_CONTEXT_STORE_STANDIN_HPP_INCLUDED

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "standins/blocking_server.hpp"

namespace fordwood::process {

// Stand-in for a managed store of kept context: tells which parts it holds, and frees parts when it
// is asked to. It moves no context.
class ContextStoreStandin
{
public:
    explicit ContextStoreStandin(const std::string &address);

    // The store holds the whole part from now on.
    void hold(const std::string &salt, const std::string &partId, std::size_t tokens);

    // When the part was last freed, on the clock that stores and engines share.
    std::optional<std::chrono::milliseconds> freedAt(const std::string &salt,
                                                     const std::string &partId);

    // The number of parts that were freed.
    std::size_t freedParts();

    // The clock that stores and engines share.
    static std::chrono::milliseconds clock();

private:
    using Part = std::pair<std::string, std::string>; // salt and id

    standins::Answer answer(const standins::Request &request);
    standins::Answer events(const standins::Request &request);
    standins::Answer list();
    standins::Answer free(const standins::Request &request);

    struct Event
    {
        bool held = false;
        Part part;
        std::size_t tokens = 0;
    };

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Part, std::size_t> m_parts; // with their tokens
    std::map<Part, std::chrono::milliseconds> m_freed;
    std::vector<Event> m_events; // numbered from 1
    std::unique_ptr<standins::BlockingServer> m_server;
};

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_CONTEXT_STORE_STANDIN_HPP_INCLUDED
