// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_STORE_CLIENT_HPP_INCLUDED
#define FORDWOOD_NODE_STORE_CLIENT_HPP_INCLUDED

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "adapters/observe/metrics.hpp"
#include "fordwood/full_read_turn.hpp"
#include "fordwood/store_replica.hpp"
#include "node/http_client.hpp"
#include "node/timeout_timer.hpp"
#include "platform/store_calls.hpp"

namespace fordwood::node {

// The times up to which an answer of the store is valid.
struct StoreAnswerTimes
{
    TimePoint sentAt{}; // when the call was sent; the answer includes all changes before that
    // Set for a call that waited for changes: there were none until this time.
    std::optional<TimePoint> noChangesUntil;
};

// Receives what StoreClient reads.
class StoreListener
{
public:
    virtual ~StoreListener() = default;

    // The platform's store has sent changes, or its whole content.
    virtual void onStoreChanges(const StoreChanges &changes, const StoreAnswerTimes &times) = 0;

    // The store has begun to answer this node, or has stopped.
    virtual void onReachabilityChange(bool reachable) = 0;

    // A read by StoreClient::poll() has ended that was sent at that time. If it was answered,
    // onStoreChanges() was called before with what it brought.
    virtual void onPollEnd(TimePoint /*sentAt*/, bool /*isAnswered*/) { }

    // The nodes that the store names as sources of its content, while this node has none of it.
    virtual void onReplicaSources(const std::vector<ReplicaSource> & /*sources*/) { }
};

// Follows the platform's store: gets its whole content once, then waits for changes with a single
// watch on all keys. The content comes from the store, or from a peer: where the store names
// sources of its content, the node reads it itself only when its turn comes. Reads everything again
// if the store no longer has the history since the last read, or if it was restored from a
// snapshot, which shows in the epoch of each of its answers.
class StoreClient
{
public:
    struct Names
    {
        std::string address; // of the store
        std::string node; // this one
    };

    StoreClient(net::io_context &context, HttpClient &client, const Clock &clock,
                adapters::Metrics &metrics, Names names, const StoreReplica &replica,
                StoreListener &listener);

    void start() { continueFollowing(); }

    // Whether to wait for changes; if not, this node gets them from peers.
    void setFollowing(bool follows);

    // Asks once for changes in addition to the watch, which may miss some if its connection or the
    // store is in trouble. Returns false if the replica has no content that changes could follow.
    bool poll();

    bool isReachable() const { return m_isReachable; }

    // How often the store has been restored from a snapshot, according to its answers.
    std::uint64_t epoch() const { return m_epoch; }

    // Sends a call other than those for following the store. Its answer also shows a new epoch.
    void send(HttpCall call, const HttpClient::Done &done);

private:
    enum class NextStep { Watch, Nothing }; // what to do after a read

    // The whole content of the store, read page by page.
    struct FullRead
    {
        explicit FullRead(TimePoint now) : sentAt(now) { }

        TimePoint sentAt; // of the call for the first page
        StoreChanges content;
        std::size_t pages = 0; // read so far
        std::string after; // the last key of these
    };

    struct AnsweredCall
    {
        TimePoint sentAt{};
        TimePoint answeredAt{};
    };

    void getFirstContent();
    void lookForSources();
    void readAll();
    void readPage(const std::shared_ptr<FullRead> &fullRead, NextStep next);
    void handlePage(const HttpResult &result, const std::shared_ptr<FullRead> &fullRead,
                    NextStep next, TimePoint askedAt);
    void recordPageFailure(const FullRead &fullRead, TimePoint askedAt, const HttpResult &result);
    void readAllOnce();
    void endPoll(TimePoint sentAt, bool isAnswered);
    void watch();
    void continueFollowing();
    void readChanges(NextStep next);
    void handleChanges(const platform::StoreResult<StoreChanges> &changes, NextStep next,
                       TimePoint sentAt);
    void handleWatch(const HttpResult &result, const StoreVersion &after);
    platform::StoreResult<StoreChanges> changesIn(const HttpResult &result,
                                                  const StoreVersion &after) const;
    void recordAnswer(TimePoint sentAt);
    void updateEpoch(const HttpResult &result);
    StoreAnswerTimes watchTimes() const;
    // Whether the replica has everything up to its revision.
    bool isComplete() const { return !m_isHistoryLost && (m_hasReadAll || !m_replica.isEmpty()); }
    Duration pauseAfterPage() const;
    void onSuccess();
    void onFailure(platform::StoreFailure failure, Duration minPause = Duration::zero());
    void after(Duration pause, void (StoreClient::*step)());

    TimeoutTimer m_timer;
    HttpClient &m_client;
    const Clock &m_clock;
    adapters::Metrics &m_metrics;
    const Names m_names;
    const StoreReplica &m_replica;
    StoreListener &m_listener;
    Duration m_batchPause; // wait after the next change before the next watch
    TimePoint m_watchStartedAt{};
    std::deque<AnsweredCall> m_recentAnswers; // to calls other than the watch
    bool m_isReachable = true;
    FullReadTurn m_turn;
    TimePoint m_nextSourceLookup{};
    std::shared_ptr<FullRead> m_fullRead; // continues after a page that failed
    bool m_isStarting = true; // the replica has had no content yet
    bool m_hasReadAll = false;
    bool m_isHistoryLost = false; // the store has no longer what the replica lacks
    bool m_isPolling = false;
    bool m_isFollowing = true;
    bool m_isIdle = false; // neither a call nor a timer for following is pending
    unsigned m_consecutiveFailures = 0;
    std::size_t m_failedPages = 0; // since the store's whole content was last read
    std::uint64_t m_epoch = 0;
    std::optional<TimePoint> m_historyLostAt; // when the store last reported HistoryLost
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_STORE_CLIENT_HPP_INCLUDED
