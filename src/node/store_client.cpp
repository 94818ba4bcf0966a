// SPDX-License-Identifier: MIT
#include "node/store_client.hpp"

#include <algorithm>
#include <utility>

#include "adapters/observe/event_log.hpp"
#include "fordwood/rendezvous.hpp"
#include "node/replica_sources.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;
using platform::StoreFailure;

// A watch costs as much as any other call, so it waits long. TCP probes detect a dead connection
// earlier.
constexpr std::chrono::milliseconds kWatchWait{20'000};
constexpr Duration kWatchGrace = std::chrono::seconds(2); // beyond the wait

// After a stall of the store all delayed answers arrive within this time.
constexpr Duration kStalledAnswersWithin = std::chrono::milliseconds(500);

// The shortest wait, so that a poll is answered at once.
constexpr std::chrono::milliseconds kPollWait{1};

// The store answers within milliseconds unless it is in trouble.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1'500);

// A pause before the next watch lets one call read changes that come close together. The pause
// doubles while changes keep coming, up to a fraction of the one to two seconds within which a
// change must take effect. Otherwise each node of a starting fleet would be woken for every few
// node keys that are written.
constexpr Duration kBatchPause = std::chrono::milliseconds(30);
constexpr Duration kMaxBatchPause = std::chrono::milliseconds(240);
// A watch that returns sooner than this continues the series of changes before it.
constexpr Duration kQuietThreshold = std::chrono::milliseconds(500);

// After the first read a node pauses before it follows further. Meanwhile the nodes that started
// with it write their keys, and it finds out whether it has to follow the store at all.
constexpr Duration kStartPause = std::chrono::milliseconds(700);

// The same after the first content has come from a peer. The node may not know its role earlier,
// and it does not follow the store then.
constexpr Duration kStartPauseAfterPeer = std::chrono::seconds(1);

// How often a node without content looks for sources, and whether its turn to read has come.
constexpr Duration kSourceLookupPause = std::chrono::seconds(1);
constexpr Duration kTurnPause = std::chrono::milliseconds(50);

// A page that does not arrive in time shows that the link is full with pages for other nodes. The
// longest pause is twice the time that each of these pages waits.
constexpr Duration kMaxPagePause = 2 * kCallTimeout;

// A failed call costs as much as any other, so it is retried with a growing pause.
constexpr Duration kInitialRetryPause = std::chrono::milliseconds(200);
constexpr Duration kMaxRetryPause = std::chrono::milliseconds(800);

} // namespace

StoreClient::StoreClient(net::io_context &context, HttpClient &client, const Clock &clock,
                         adapters::Metrics &metrics, Names names, const StoreReplica &replica,
                         StoreListener &listener)
    : m_timer(context), m_client(client), m_clock(clock), m_metrics(metrics),
      m_names(std::move(names)), m_replica(replica), m_listener(listener),
      m_batchPause(kBatchPause), m_turn(clock, m_names.node)
{ }

void StoreClient::after(Duration pause, void (StoreClient::*step)())
{
    m_timer.start(pause, [this, step] { (this->*step)(); });
}

void StoreClient::send(HttpCall call, const HttpClient::Done &done)
{
    call.address = m_names.address;
    m_client.send(call, kCallTimeout,
                  [this, sentAt = m_clock.now(), done](const HttpResult &result) {
                      if (result) // including an answer that rejects the call
                          recordAnswer(sentAt);
                      updateEpoch(result);
                      done(result);
                  });
}

// Reads the content of the store when it is this node's turn. Until then peers are asked for it.
void StoreClient::getFirstContent()
{
    if (m_clock.now() >= m_nextSourceLookup)
        lookForSources();
    else if (m_turn.isDue())
        readAll();
    else
        after(kTurnPause, &StoreClient::continueFollowing);
}

void StoreClient::lookForSources()
{
    send(platform::stalePrefixCall(std::string(kSourcePrefix)), [this](const HttpResult &result) {
        const auto page = platform::readRange(result);
        if (!page) {
            onFailure(page.error());
            return;
        }
        onSuccess();
        m_nextSourceLookup = m_clock.now() + kSourceLookupPause;
        const auto sources = sourcesIn(page->content.items);
        m_turn.setSources(sources);
        m_listener.onReplicaSources(sources);
        continueFollowing();
    });
}

void StoreClient::readAll()
{
    if (!m_fullRead)
        m_fullRead = std::make_shared<FullRead>(m_clock.now());
    readPage(m_fullRead, NextStep::Watch);
}

void StoreClient::readPage(const std::shared_ptr<FullRead> &fullRead, NextStep next)
{
    send(platform::rangeCall(fullRead->after),
         [this, fullRead, next, askedAt = m_clock.now()](const HttpResult &result) {
             handlePage(result, fullRead, next, askedAt);
         });
}

void StoreClient::recordPageFailure(const FullRead &fullRead, TimePoint askedAt,
                                    const HttpResult &result)
{
    m_failedPages += 1;
    m_metrics.count("fordwood_store_pages_failed_total");
    logEvent(Event::StorePageFailed, {{"page", fullRead.pages + 1},
                                      {"items", fullRead.content.items.size()},
                                      {"status", result ? result->status : 0U},
                                      {"sent", result || result.error() != HttpFailure::NotSent},
                                      {"waited_ms", m_clock.now() - askedAt},
                                      {"failures", m_failedPages}});
}

void StoreClient::handlePage(const HttpResult &result, const std::shared_ptr<FullRead> &fullRead,
                             NextStep next, TimePoint askedAt)
{
    auto page = platform::readRange(result);
    if (!page) {
        recordPageFailure(*fullRead, askedAt, result);
        m_nextSourceLookup = {}; // some peer may have read it by now
        if (next == NextStep::Watch)
            onFailure(page.error(), pauseAfterPage());
        else
            endPoll(fullRead->sentAt, false); // the next poll tries again
        return;
    }
    onSuccess();
    if (next == NextStep::Watch && m_isStarting && !m_replica.isEmpty()) {
        continueFollowing(); // a peer has sent the content meanwhile
        return;
    }
    // The pages are not a consistent snapshot. The watch reads what changed after the first page.
    StoreChanges &read = fullRead->content;
    if (read.revision == 0) {
        read.revision = page->content.revision;
        read.epoch = page->content.epoch;
    }
    if (page->content.epoch != read.epoch) {
        *fullRead = FullRead(m_clock.now());
        readPage(fullRead, next);
        return;
    }
    fullRead->pages += 1;
    auto &items = page->content.items;
    read.items.insert(read.items.end(), items.begin(), items.end());
    if (page->nextAfter) {
        fullRead->after = *page->nextAfter;
        readPage(fullRead, next);
        return;
    }
    m_hasReadAll = true;
    m_isHistoryLost = false;
    m_fullRead.reset();
    m_isPolling = false;
    logEvent(Event::StoreContentRead, {{"pages", fullRead->pages},
                                       {"items", read.items.size()},
                                       {"revision", read.revision},
                                       {"took_ms", m_clock.now() - fullRead->sentAt},
                                       {"failed_pages", m_failedPages}});
    m_metrics.count("fordwood_store_content_reads_total");
    m_failedPages = 0;
    m_listener.onStoreChanges(read, {fullRead->sentAt, std::nullopt});
    if (next != NextStep::Watch) {
        endPoll(fullRead->sentAt, true);
        return;
    }
    if (std::exchange(m_isStarting, false))
        after(kStartPause, &StoreClient::continueFollowing);
    else
        continueFollowing();
}

void StoreClient::setFollowing(bool follows)
{
    m_isFollowing = follows;
    if (m_isFollowing && m_isIdle)
        continueFollowing();
}

// Starts the next step of following: a watch, or a full read if the replica is incomplete. After a
// failure the store may take calls without ever answering them, and a watch would wait for its
// whole time. A read that is answered at once comes first.
void StoreClient::continueFollowing()
{
    // A node without a replica keeps reading until it has one, from the store or from a peer.
    m_isIdle = !m_isFollowing && !m_replica.isEmpty();
    if (m_isIdle) {
        m_isStarting = false;
        return;
    }
    if (m_isHistoryLost) {
        readAll();
    } else if (!isComplete()) {
        getFirstContent();
    } else if (m_consecutiveFailures > 0) {
        readChanges(NextStep::Watch);
    } else if (std::exchange(m_isStarting, false)) {
        m_fullRead.reset();
        after(kStartPauseAfterPeer, &StoreClient::continueFollowing);
    } else {
        watch();
    }
}

void StoreClient::watch()
{
    const StoreVersion after = m_replica.version();
    HttpCall call = platform::watchCall(after.revision, kWatchWait);
    call.address = m_names.address;
    m_watchStartedAt = m_clock.now();
    m_client.send(call, kWatchWait + kWatchGrace,
                  [this, after](const HttpResult &result) { handleWatch(result, after); });
}

// If the store was restored, its changes since a revision from before the restore are not those
// that the replica lacks.
platform::StoreResult<StoreChanges> StoreClient::changesIn(const HttpResult &result,
                                                           const StoreVersion &after) const
{
    auto changes = platform::readWatch(result, after.revision);
    if (changes && changes->epoch != after.epoch)
        return tl::unexpected(StoreFailure::HistoryLost);
    return changes;
}

void StoreClient::handleWatch(const HttpResult &result, const StoreVersion &after)
{
    updateEpoch(result);
    const auto changes = changesIn(result, after);
    if (!changes) {
        onFailure(changes.error());
        return;
    }
    onSuccess();
    m_listener.onStoreChanges(*changes, watchTimes());
    const bool acceptRecord = m_clock.now() - m_watchStartedAt < kQuietThreshold;
    m_batchPause = acceptRecord ? std::min(2 * m_batchPause, kMaxBatchPause) : kBatchPause;
    this->after(m_batchPause, &StoreClient::continueFollowing);
}

void StoreClient::updateEpoch(const HttpResult &result)
{
    const std::uint64_t epoch = platform::epochOf(result);
    if (epoch <= m_epoch)
        return;
    m_epoch = epoch;
    // The watch may be on a dead connection, so it cannot be relied on to notice the restore.
    if (isComplete() && m_isFollowing && epoch > m_replica.version().epoch)
        readAllOnce();
}

void StoreClient::recordAnswer(TimePoint sentAt)
{
    constexpr std::size_t kMaxRecentAnswers = 8;
    // Calls that come close together must not push out the answers that are old enough to count.
    constexpr Duration kMinSpacing = std::chrono::milliseconds(100);
    if (!m_recentAnswers.empty() && sentAt - m_recentAnswers.back().sentAt < kMinSpacing)
        return;
    m_recentAnswers.push_back({sentAt, m_clock.now()});
    if (m_recentAnswers.size() > kMaxRecentAnswers)
        m_recentAnswers.pop_front();
}

// If the store stalls, it may answer the watch long after the change that ended the wait. So there
// were certainly no changes only until a later call was sent that the store answered while the
// watch was still waiting.
StoreAnswerTimes StoreClient::watchTimes() const
{
    StoreAnswerTimes times{m_watchStartedAt, std::nullopt};
    const TimePoint now = m_clock.now();
    for (const AnsweredCall &it : m_recentAnswers) {
        if (it.sentAt > m_watchStartedAt && now - it.answeredAt >= kStalledAnswersWithin)
            times.noChangesUntil = std::max(times.noChangesUntil.value_or(it.sentAt), it.sentAt);
    }
    return times;
}

bool StoreClient::poll()
{
    if (m_isPolling)
        return true;
    if (!isComplete())
        return false;
    m_isPolling = true;
    readChanges(NextStep::Nothing);
    return true;
}

void StoreClient::endPoll(TimePoint sentAt, bool isAnswered)
{
    m_isPolling = false;
    m_listener.onPollEnd(sentAt, isAnswered);
}

// Reads the changes so far, without waiting for more.
void StoreClient::readChanges(NextStep next)
{
    const StoreVersion after = m_replica.version();
    const TimePoint sentAt = m_clock.now();
    send(platform::watchCall(after.revision, kPollWait),
         [this, next, after, sentAt](const HttpResult &result) {
             handleChanges(changesIn(result, after), next, sentAt);
         });
}

void StoreClient::handleChanges(const platform::StoreResult<StoreChanges> &changes, NextStep next,
                                TimePoint sentAt)
{
    if (changes) {
        onSuccess();
        m_listener.onStoreChanges(*changes, {sentAt, std::nullopt});
        if (next == NextStep::Watch)
            continueFollowing();
        else
            endPoll(sentAt, true);
    } else if (next == NextStep::Watch) {
        onFailure(changes.error());
    } else if (changes.error() == StoreFailure::HistoryLost) {
        // The watch has missed changes. It detects all other failures itself.
        readAllOnce();
    } else {
        endPoll(sentAt, false);
    }
}

// Reads everything while the watch keeps waiting.
void StoreClient::readAllOnce()
{
    m_isPolling = true;
    readPage(std::make_shared<FullRead>(m_clock.now()), NextStep::Nothing);
}

void StoreClient::onSuccess()
{
    m_consecutiveFailures = 0;
    if (m_isReachable)
        return;
    m_isReachable = true;
    m_listener.onReachabilityChange(true);
}

// Grows with the pages that failed, and differs between nodes, so that fewer and fewer read at
// once.
Duration StoreClient::pauseAfterPage() const
{
    constexpr std::size_t kMaxDoublings = 4;
    const Duration pause = std::min(
        kInitialRetryPause * (1U << std::min(m_failedPages, kMaxDoublings)), kMaxPagePause);
    const double spread = 0.5 + hashFraction(stableHash(m_names.node, m_failedPages));
    return std::chrono::duration_cast<Duration>(spread * pause);
}

void StoreClient::onFailure(StoreFailure failure, Duration minPause)
{
    if (failure == StoreFailure::HistoryLost) {
        onSuccess();
        m_isHistoryLost = true;
        m_fullRead.reset();
        // If the history is lost again soon, pause first: repeated full reads would only load the
        // store.
        const TimePoint now = m_clock.now();
        const bool isRepeated = m_historyLostAt && now - *m_historyLostAt < kMaxRetryPause;
        m_historyLostAt = now;
        after(isRepeated ? kInitialRetryPause : Duration(0), &StoreClient::readAll);
        return;
    }
    constexpr unsigned kMaxDoublings = 4;
    const Duration pause
        = std::min(kInitialRetryPause * (1U << std::min(m_consecutiveFailures, kMaxDoublings)),
                   kMaxRetryPause);
    m_consecutiveFailures += 1;
    // The connection of a watch may be cut at any time. Only the failure of the next call shows
    // that the store is unreachable.
    if (m_isReachable && m_consecutiveFailures > 1) {
        m_isReachable = false;
        m_listener.onReachabilityChange(false);
    }
    const bool first = m_consecutiveFailures == 1 && isComplete();
    after(first ? Duration(0) : std::max(pause, minPause), &StoreClient::continueFollowing);
}

} // namespace fordwood::node
