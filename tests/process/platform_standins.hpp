// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_PLATFORM_STANDINS_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_PLATFORM_STANDINS_HPP_INCLUDED

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "standins/blocking_server.hpp"

namespace fordwood::process {

// The users' platform's key-value store, as far as a node uses it: keys with revisions, leases that
// run out only as advanceTime() says, ranges, watches, conditional writes.
class KeyValueStandin
{
public:
    explicit KeyValueStandin(const std::string &address);

    // Writes as the operators or the upstreams do.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    // From now on every call is turned away, or no longer.
    void setDown(bool down);

    // Calls are taken and carried out, but their answers are held back until it is over.
    void setStalled(bool stalled);

    // Watches hear nothing of what changes, or hear again.
    void setSilentWatches(bool silent);

    // Forgets what has changed so far: watches must begin anew.
    void forgetHistory();

    // Comes back from a copy as it stood at takeSnapshot(): keys, leases and revisions of then, and
    // the epoch rises.
    void takeSnapshot();
    void restoreSnapshot();

    // Time of a paused clock has passed: leases that were not renewed meanwhile run out.
    void advanceTime(std::chrono::nanoseconds time);

    std::int64_t revision();

    // Whether there is a key that begins so; takes all of them away.
    bool has(const std::string &prefix);
    void removeAll(const std::string &prefix);

private:
    struct Item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t createRevision = 0;
        std::int64_t lease = 0;
    };
    struct Lease
    {
        std::chrono::milliseconds ttl{0};
        std::chrono::nanoseconds remaining{0};
    };
    struct Change
    {
        std::string key;
        std::int64_t revision = 0;
        bool isDeleted = false;
    };

    standins::Answer answer(const standins::Request &request);
    standins::Answer execute(const standins::Request &request);
    standins::Answer range(const standins::Request &request);
    standins::Answer watch(const standins::Request &request);
    standins::Answer transact(const standins::Request &request);
    standins::Answer grant(const standins::Request &request);
    standins::Answer renewLease(std::int64_t lease);
    void revokeLease(std::int64_t lease);
    void write(const std::string &key, const std::string &value, std::int64_t lease);
    void erase(const std::string &key);

    struct Content
    {
        std::map<std::string, Item> items;
        std::int64_t revision = 1;
        std::int64_t nextLease = 100;
        std::map<std::int64_t, Lease> leases;
    };

    std::mutex m_mutex;
    std::condition_variable m_changed;
    Content m_now;
    Content m_snapshot;
    std::uint64_t m_epoch = 1;
    std::vector<Change> m_history;
    std::int64_t m_historyFrom = 0;
    bool m_down = false;
    bool m_watchesSilent = false;
    bool m_stalled = false;
    std::unique_ptr<standins::BlockingServer> m_server;
};

// An upstream of the users' platform: a plain service, or an engine that answers with a stream.
// Counts the runs of each request.
class UpstreamStandin
{
public:
    UpstreamStandin(const std::string &address, std::string instanceId);

    // How the next requests go wrong.
    enum class Fault { None, CutAfterRun, Reject, OtherRequestId, NoSeal, FailAfterRun };
    void setFault(Fault fault, int requests);

    // Under which id the next life of an upstream that has ended begins, at the same address.
    enum class NextLife { OtherId, SameId };

    // From now on each request to the path ends this upstream while it runs: its connection breaks
    // and the next life begins. `ended` is told the ids of both lives.
    void endOnRequest(const std::string &path, NextLife next,
                      std::function<void(const std::string &, const std::string &)> ended);

    // What its answers say of its limit from now on; nothing: no such field.
    void setLimit(std::optional<std::string> limit);

    // Whether its answers say from now on that it is draining.
    void setDraining(bool draining);

    // From now on it rejects every request and asks for this backoff, in the field's own text;
    // nothing: it rejects none.
    void rejectWithBackoff(std::optional<std::string> retryAfter);

    // When requests arrived, whatever became of them.
    std::vector<std::chrono::steady_clock::time_point> arrivals();

    // A stream breaks after so many events, in the middle of the next one.
    void breakStreamsAfter(int events);

    int runs(const std::string &requestId);
    int totalRuns();
    // A field of the last request that was run.
    std::string lastField(const std::string &name);

private:
    standins::Answer answer(const standins::Request &request);
    standins::Answer stream(const standins::Request &request);
    void addState(standins::Answer &answer) const;

    standins::Answer end();

    std::string m_instanceId;
    std::string m_fatalPath; // path
    NextLife m_nextLife = NextLife::OtherId;
    std::function<void(const std::string &, const std::string &)> m_onEnd;
    int m_lives = 1;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    standins::Request m_last;
    std::optional<std::string> m_limit;
    bool m_isDraining = false;
    std::optional<std::string> m_retryAfter;
    std::vector<std::chrono::steady_clock::time_point> m_arrivals;
    Fault m_fault = Fault::None;
    int m_faultyRequests = 0;
    int m_breakAfter = 0;
    std::unique_ptr<standins::BlockingServer> m_server;
};

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_PLATFORM_STANDINS_HPP_INCLUDED
