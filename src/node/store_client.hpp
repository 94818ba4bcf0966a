// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_STORE_CLIENT_HPP_INCLUDED
#define FORDWOOD_NODE_STORE_CLIENT_HPP_INCLUDED

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "fordwood/store_replica.hpp"
#include "node/http_client.hpp"
#include "platform/store_calls.hpp"

namespace fordwood::node {

// What an answer of the store shows about when things happened there.
struct StoreAnswerTimes
{
    TimePoint sentAt{}; // when the call was sent; the answer holds all that had happened by then
    // A call that waited for news shows that there were none until this moment.
    std::optional<TimePoint> noChangesUntil;
};

// Takes what the link reads.
class StoreListener
{
public:
    virtual ~StoreListener() = default;

    // The platform's store has told changes, or all that it holds.
    virtual void onStoreChanges(const StoreChanges &changes, const StoreAnswerTimes &times) = 0;

    // The store answers this node, or no longer does.
    virtual void onReachabilityChange(bool reachable) = 0;
};

// Follows the platform's store: reads all of it once, then waits for changes; reads all anew when
// the store has forgotten what happened in between, or was restored from a snapshot, which each of
// its answers tells. One waiting call for every key there is.
class StoreClient
{
public:
    StoreClient(net::io_context &context, HttpClient &client, const Clock &clock,
                std::string address, const StoreReplica &replica, StoreListener &listener);

    void start() { readAll(); }

    // Whether the link goes on waiting for changes; if not, others tell this node.
    void setFollowing(bool follows);

    // Asks once what has changed, beside the waiting call, which may hear nothing in trouble.
    void poll();

    bool isReachable() const { return m_isReachable; }

    // How often the store has been restored from a snapshot, by the answers of this link.
    std::uint64_t epoch() const { return m_epoch; }

    // Sends one of the other calls; a call that is not answered tells of an outage too.
    void send(HttpCall call, const HttpClient::Done &done);

private:
    void readAll();
    enum class NextStep { Watch, Nothing }; // what follows a read of everything

    // All that the store holds, page by page.
    struct FullRead
    {
        TimePoint sentAt{}; // for the first page
        StoreChanges read;
    };

    struct AnsweredCall
    {
        TimePoint sentAt{};
        TimePoint onSuccess{};
    };

    void readPage(const std::string &after, const std::shared_ptr<FullRead> &fullRead,
                  NextStep next);
    void handlePage(const HttpResult &result, const std::shared_ptr<FullRead> &fullRead,
                    NextStep next);
    void readAllOnce();
    void watch();
    void continueFollowing();
    void handlePoll(const HttpResult &result, const StoreVersion &after, TimePoint sentAt);
    void handleWatch(const HttpResult &result, const StoreVersion &after);
    platform::StoreResult<StoreChanges> changesIn(const HttpResult &result,
                                                  const StoreVersion &after) const;
    void recordAnswer(TimePoint sentAt);
    void updateEpoch(const HttpResult &result);
    StoreAnswerTimes watchTimes() const;
    void onSuccess();
    void onFailure(platform::StoreFailure failure);
    void after(Duration pause, void (StoreClient::*step)());

    net::steady_timer m_timer;
    HttpClient &m_client;
    const Clock &m_clock;
    const std::string m_address;
    const StoreReplica &m_replica;
    StoreListener &m_listener;
    Duration m_batchPause; // after the next change
    TimePoint m_watchStartedAt{};
    std::deque<AnsweredCall> m_recentAnswers; // the last ones, beside the waiting call
    bool m_isReachable = true;
    bool m_isStarting = true; // nothing has been read yet
    bool m_isComplete = false; // the copy holds all up to its revision
    bool m_isPolling = false;
    bool m_isFollowing = true;
    bool m_isIdle = false; // nothing is under way
    unsigned m_consecutiveFailures = 0; // in a row
    std::uint64_t m_epoch = 0;
    std::optional<TimePoint> m_historyLostAt; // when the store last had forgotten it
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_STORE_CLIENT_HPP_INCLUDED
