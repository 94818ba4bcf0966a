// SPDX-License-Identifier: MIT
#include "node/store_link.hpp"

#include <algorithm>
#include <utility>

namespace fordwood::node {

namespace {

using platform::StoreFailure;

// A waiting watch is a call like any other, so it waits long; a silent connection shows sooner, by
// its probes.
constexpr std::chrono::milliseconds kWatchWait{20'000};
constexpr Duration kWatchGrace = std::chrono::seconds(2); // beyond the wait

// Answers that a stalled store held back all come within this.
constexpr Duration kAnswersTogether = std::chrono::milliseconds(500);

// The shortest wait: a poll is to answer at once.
constexpr std::chrono::milliseconds kPollWait{1};

// Slower than this only when the store is in trouble: it answers in milliseconds.
constexpr Duration kCallPatience = std::chrono::milliseconds(1'500);

// Changes that come together are read by one call. While they keep coming the pause doubles, up to
// a part of the second or two within which changes must be in force: a fleet that starts, where
// each node writes its key, else wakes every node with each few keys.
constexpr Duration kBatchPause = std::chrono::milliseconds(30);
constexpr Duration kLongestBatchPause = std::chrono::milliseconds(240);
// A wait that brings a change sooner than this goes on with those before it.
constexpr Duration kQuietWait = std::chrono::milliseconds(500);

// After its start a node reads once more before it waits for changes: meanwhile the others that
// started with it have written their keys, and it knows whether it need follow at all.
constexpr Duration kStartPause = std::chrono::milliseconds(700);

// Failed calls cost as much as others: they are repeated after a pause that grows.
constexpr Duration kFirstPause = std::chrono::milliseconds(200);
constexpr Duration kLongestPause = std::chrono::milliseconds(800);

} // namespace

StoreLink::StoreLink(net::io_context &context, HttpClient &caller, const Clock &clock,
                     std::string address, const StoreReplica &replica, StoreListener &listener)
    : m_timer(context), m_caller(caller), m_clock(clock), m_address(std::move(address)),
      m_replica(replica), m_listener(listener), m_batchPause(kBatchPause)
{ }

void StoreLink::after(Duration pause, void (StoreLink::*step)())
{
    m_timer.expires_after(pause);
    m_timer.async_wait([this, step](const ErrorCode &ec) {
        if (!ec)
            (this->*step)();
    });
}

void StoreLink::send(HttpCall call, const HttpClient::Done &done)
{
    call.address = m_address;
    m_caller.send(call, kCallPatience,
                  [this, asked = m_clock.now(), done](const HttpResult &result) {
                      if (result) // also one that turns the call away
                          noteAnswered(asked);
                      noteEpoch(result);
                      done(result);
                  });
}

void StoreLink::readAll()
{
    readPage("", std::make_shared<WholeRead>(WholeRead{m_clock.now(), {}}), After::Watch);
}

void StoreLink::readPage(const std::string &after, const std::shared_ptr<WholeRead> &whole,
                         After next)
{
    send(platform::rangeCall(after),
         [this, whole, next](const HttpResult &result) { takePage(result, whole, next); });
}

void StoreLink::takePage(const HttpResult &result, const std::shared_ptr<WholeRead> &whole,
                         After next)
{
    auto page = platform::readRange(result);
    if (!page) {
        if (next == After::Watch)
            failed(page.error());
        else
            m_isPolling = false; // the next poll tries again
        return;
    }
    answered();
    // Pages are no snapshot: what changed after the first one is read by the watch.
    StoreChanges &read = whole->read;
    if (read.revision == 0) {
        read.revision = page->content.revision;
        read.epoch = page->content.epoch;
    }
    if (page->content.epoch != read.epoch) {
        readPage("", std::make_shared<WholeRead>(WholeRead{m_clock.now(), {}}), next);
        return;
    }
    auto &items = page->content.items;
    read.items.insert(read.items.end(), items.begin(), items.end());
    if (page->nextAfter) {
        readPage(*page->nextAfter, whole, next);
        return;
    }
    m_isWhole = true;
    m_isPolling = false;
    m_listener.storeTold(read, {whole->asked, std::nullopt});
    if (next != After::Watch)
        return;
    if (std::exchange(m_isStarting, false))
        after(kStartPause, &StoreLink::goOn);
    else
        goOn();
}

void StoreLink::setFollowing(bool follows)
{
    m_follows = follows;
    if (m_follows && m_rests)
        goOn();
}

// The next step of following: waits for changes, or first reads all.
void StoreLink::goOn()
{
    // A node that has no copy yet reads on until it has one, from here or from a peer.
    m_rests = !m_follows && !m_replica.isEmpty();
    if (m_rests)
        return;
    if (m_isWhole)
        watch();
    else
        readAll();
}

void StoreLink::watch()
{
    const StoreVersion after = m_replica.version();
    HttpCall call = platform::watchCall(after.revision, kWatchWait);
    call.address = m_address;
    m_watchBegan = m_clock.now();
    m_caller.send(call, kWatchWait + kWatchGrace,
                  [this, after](const HttpResult &result) { takeWatch(result, after); });
}

// Of a restored store the changes after a revision of before it are not those that the copy lacks.
platform::StoreResult<StoreChanges> StoreLink::changesIn(const HttpResult &result,
                                                         const StoreVersion &after) const
{
    auto changes = platform::readWatch(result, after.revision);
    if (changes && changes->epoch != after.epoch)
        return tl::unexpected(StoreFailure::HistoryLost);
    return changes;
}

void StoreLink::takeWatch(const HttpResult &result, const StoreVersion &after)
{
    noteEpoch(result);
    const auto changes = changesIn(result, after);
    if (!changes) {
        failed(changes.error());
        return;
    }
    answered();
    m_listener.storeTold(*changes, watchTimes());
    const bool goesOn = m_clock.now() - m_watchBegan < kQuietWait;
    m_batchPause = goesOn ? std::min(2 * m_batchPause, kLongestBatchPause) : kBatchPause;
    this->after(m_batchPause, &StoreLink::goOn);
}

void StoreLink::noteEpoch(const HttpResult &result)
{
    const std::uint64_t epoch = platform::epochOf(result);
    if (epoch <= m_epoch)
        return;
    m_epoch = epoch;
    // The waiting call may be on a connection that hears nothing any more.
    if (m_isWhole && m_follows && epoch > m_replica.version().epoch)
        readAllOnce();
}

void StoreLink::noteAnswered(TimePoint asked)
{
    constexpr std::size_t kMostRemembered = 8;
    m_answered.push_back({asked, m_clock.now()});
    if (m_answered.size() > kMostRemembered)
        m_answered.pop_front();
}

// The waiting call may be answered long after its news, if the store stalls: quiet was only what
// lies before a later call that the store did answer, while the waiting one went on.
StoreAnswerTimes StoreLink::watchTimes() const
{
    StoreAnswerTimes times{m_watchBegan, std::nullopt};
    const TimePoint now = m_clock.now();
    for (const AnsweredCall &it : m_answered) {
        if (it.asked > m_watchBegan && now - it.answered >= kAnswersTogether)
            times.quietUntil = std::max(times.quietUntil.value_or(it.asked), it.asked);
    }
    return times;
}

void StoreLink::poll()
{
    if (m_isPolling || !m_isWhole)
        return;
    m_isPolling = true;
    const StoreVersion after = m_replica.version();
    const TimePoint asked = m_clock.now();
    send(platform::watchCall(after.revision, kPollWait),
         [this, after, asked](const HttpResult &result) {
             m_isPolling = false;
             takePoll(result, after, asked);
         });
}

void StoreLink::takePoll(const HttpResult &result, const StoreVersion &after, TimePoint asked)
{
    const auto changes = changesIn(result, after);
    if (changes) {
        answered();
        m_listener.storeTold(*changes, {asked, std::nullopt});
        return;
    }
    // A lost history means that the waiting call has missed something; other failures are its own
    // to find out.
    if (changes.error() == StoreFailure::HistoryLost)
        readAllOnce();
}

// Reads everything beside the waiting call, which goes on.
void StoreLink::readAllOnce()
{
    m_isPolling = true;
    readPage("", std::make_shared<WholeRead>(WholeRead{m_clock.now(), {}}), After::Nothing);
}

void StoreLink::answered()
{
    m_failures = 0;
    if (m_reachable)
        return;
    m_reachable = true;
    m_listener.storeReachable(true);
}

void StoreLink::failed(StoreFailure failure)
{
    if (failure == StoreFailure::HistoryLost) {
        answered();
        m_isWhole = false;
        // Lost again at once: reading all in a row would only load the store.
        const TimePoint now = m_clock.now();
        const bool isRepeated = m_historyLost && now - *m_historyLost < kLongestPause;
        m_historyLost = now;
        after(isRepeated ? kFirstPause : Duration(0), &StoreLink::readAll);
        return;
    }
    constexpr unsigned kMostDoublings = 4;
    const Duration pause
        = std::min(kFirstPause * (1U << std::min(m_failures, kMostDoublings)), kLongestPause);
    m_failures += 1;
    // A waiting watch may be cut at any time; only the next call shows whether the store is away.
    if (m_reachable && m_failures > 1) {
        m_reachable = false;
        m_listener.storeReachable(false);
    }
    const bool first = m_failures == 1 && m_isWhole;
    after(first ? Duration(0) : pause, &StoreLink::goOn);
}

} // namespace fordwood::node
