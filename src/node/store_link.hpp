// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_STORE_LINK_HPP_INCLUDED
#define FORDWOOD_NODE_STORE_LINK_HPP_INCLUDED

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
    TimePoint asked{}; // when the call was sent; the answer holds all that had happened by then
    // A call that waited for news shows that there were none until this moment.
    std::optional<TimePoint> quietUntil;
};

// Takes what the link reads.
class StoreListener
{
public:
    virtual ~StoreListener() = default;

    // The platform's store has told changes, or all that it holds.
    virtual void storeTold(const StoreChanges &changes, const StoreAnswerTimes &times) = 0;

    // The store answers this node, or no longer does.
    virtual void storeReachable(bool reachable) = 0;
};

// Follows the platform's store: reads all of it once, then waits for changes; reads all anew when
// the store has forgotten what happened in between, or was restored from a snapshot, which each of
// its answers tells. One waiting call for every key there is.
class StoreLink
{
public:
    StoreLink(net::io_context &context, HttpClient &caller, const Clock &clock, std::string address,
              const StoreReplica &replica, StoreListener &listener);

    void start() { readAll(); }

    // Whether the link goes on waiting for changes; if not, others tell this node.
    void setFollowing(bool follows);

    // Asks once what has changed, beside the waiting call, which may hear nothing in trouble.
    void poll();

    bool isReachable() const { return m_reachable; }

    // How often the store has been restored from a snapshot, by the answers of this link.
    std::uint64_t epoch() const { return m_epoch; }

    // Sends one of the other calls; a call that is not answered tells of an outage too.
    void send(HttpCall call, const HttpClient::Done &done);

private:
    void readAll();
    enum class After { Watch, Nothing }; // what follows a read of everything

    // All that the store holds, page by page.
    struct WholeRead
    {
        TimePoint asked{}; // for the first page
        StoreChanges read;
    };

    struct AnsweredCall
    {
        TimePoint asked{};
        TimePoint answered{};
    };

    void readPage(const std::string &after, const std::shared_ptr<WholeRead> &whole, After next);
    void takePage(const HttpResult &result, const std::shared_ptr<WholeRead> &whole, After next);
    void readAllOnce();
    void watch();
    void goOn();
    void takePoll(const HttpResult &result, const StoreVersion &after, TimePoint asked);
    void takeWatch(const HttpResult &result, const StoreVersion &after);
    platform::StoreResult<StoreChanges> changesIn(const HttpResult &result,
                                                  const StoreVersion &after) const;
    void noteAnswered(TimePoint asked);
    void noteEpoch(const HttpResult &result);
    StoreAnswerTimes watchTimes() const;
    void answered();
    void failed(platform::StoreFailure failure);
    void after(Duration pause, void (StoreLink::*step)());

    net::steady_timer m_timer;
    HttpClient &m_caller;
    const Clock &m_clock;
    const std::string m_address;
    const StoreReplica &m_replica;
    StoreListener &m_listener;
    Duration m_batchPause; // after the next change
    TimePoint m_watchBegan{};
    std::deque<AnsweredCall> m_answered; // the last ones, beside the waiting call
    bool m_reachable = true;
    bool m_isStarting = true; // nothing has been read yet
    bool m_isWhole = false; // the copy holds all up to its revision
    bool m_isPolling = false;
    bool m_follows = true;
    bool m_rests = false; // nothing is under way
    unsigned m_failures = 0; // in a row
    std::uint64_t m_epoch = 0;
    std::optional<TimePoint> m_historyLost; // when the store last had forgotten it
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_STORE_LINK_HPP_INCLUDED
