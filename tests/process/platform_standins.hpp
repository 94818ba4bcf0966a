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

// Stand-in for the platform's key-value store, with the functions that a node uses: keys with
// revisions, leases, ranges, watches and conditional writes. Leases expire only in advanceTime().
class KeyValueStandin
{
public:
    explicit KeyValueStandin(const std::string &address);

    // Write and remove keys as operators and upstreams do.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    // While down, every call is rejected with 503. Also ends setSilentWatches(true).
    void setDown(bool down);

    // While stalled, calls are executed, but their answers are held back.
    void setStalled(bool stalled);

    // While silent, watches report no changes; polls with a short wait still do.
    void setSilentWatches(bool silent);

    // From now on ranges have up to this many items a page, and the link carries the answers of all
    // calls one after the other, at this rate. An answer whose caller has given up takes its time
    // as well.
    void setLink(std::size_t pageItems, double bytesPerSecond);

    // Discards the history of changes. Watches from earlier revisions are rejected with 410.
    void forgetHistory();

    // restoreSnapshot() restores the keys, leases and revisions of the last takeSnapshot() and
    // increments the epoch, as a store that is restored from a backup does.
    void takeSnapshot();
    void restoreSnapshot();

    // Advances the time of all leases. Leases whose TTL has passed without a renewal expire.
    void advanceTime(std::chrono::nanoseconds time);

    std::int64_t revision();

    // The value of a key; empty if it does not exist.
    std::string value(const std::string &key);

    // What follows the prefix in all keys that begin with it.
    std::vector<std::string> namesUnder(const std::string &prefix);

    // has() returns whether a key with the prefix exists; removeAll() removes all such keys.
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
    void passLink(std::size_t bytes);
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
    std::size_t m_pageItems = 2; // small, so that reads need several pages
    double m_linkBytesPerSecond = 0.0; // zero: no limit
    std::chrono::steady_clock::time_point m_linkFreeAt{};
    std::unique_ptr<standins::BlockingServer> m_server;
};

// Stand-in for an upstream of the platform: a plain service, or an engine that streams its answer.
// Counts how often each request ran.
class UpstreamStandin
{
public:
    UpstreamStandin(const std::string &address, std::string instanceId);

    // How the next requests fail.
    enum class Fault { None, CutAfterRun, Reject, OtherRequestId, NoSeal, FailAfterRun };
    void setFault(Fault fault, int requests);

    // The id under which a crashed upstream restarts, at the same address.
    enum class NextLife { OtherId, SameId };

    // From now on each request to the path crashes this upstream: the connection breaks and the
    // upstream restarts. `ended` is called with the ids before and after the restart.
    void endOnRequest(const std::string &path, NextLife next,
                      std::function<void(const std::string &, const std::string &)> ended);

    // Sets the limit that answers report from now on; nullopt: answers have no such field.
    void setLimit(std::optional<std::string> limit);

    // Sets whether answers report from now on that the upstream is draining.
    void setDraining(bool draining);

    // From now on every request is rejected with this text as Retry-After; nullopt: no request is
    // rejected.
    void rejectWithBackoff(std::optional<std::string> retryAfter);

    // While held, requests run, but their answers are not sent.
    void setHeld(bool held);

    // When requests for this instance arrived, including rejected ones.
    std::vector<std::chrono::steady_clock::time_point> arrivals();

    // Streams have this many events with so much data each from now on.
    void setStreams(int events, std::size_t bytesPerEvent);

    // Streams break off in the middle of the event that follows the given number of events.
    void breakStreamsAfter(int events);

    int runs(const std::string &requestId);
    int totalRuns();
    // A header field of the last request that ran.
    std::string lastField(const std::string &name);
    // All requests that ran, in the order of their arrival.
    std::vector<standins::Request> requests();

private:
    standins::Answer answer(const standins::Request &request);
    standins::Answer stream(const standins::Request &request);
    void addState(standins::Answer &answer) const;

    standins::Answer end();

    std::string m_instanceId;
    std::string m_fatalPath; // requests to it crash this upstream
    NextLife m_nextLife = NextLife::OtherId;
    std::function<void(const std::string &, const std::string &)> m_onEnd;
    int m_lives = 1;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    std::vector<standins::Request> m_requests;
    std::optional<std::string> m_limit;
    bool m_isDraining = false;
    std::optional<std::string> m_retryAfter;
    std::vector<std::chrono::steady_clock::time_point> m_arrivals;
    bool m_isHeld = false;
    std::condition_variable m_released;
    Fault m_fault = Fault::None;
    int m_faultyRequests = 0;
    int m_breakAfter = 0;
    int m_streamEvents = 5;
    std::size_t m_bytesPerEvent = 0; // zero: the event's number
    std::unique_ptr<standins::BlockingServer> m_server;
};

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_PLATFORM_STANDINS_HPP_INCLUDED
