// SPDX-License-Identifier: MIT
#include "apps/entryd/entry_node.hpp"

#include <algorithm>

#include "adapters/observe/event_log.hpp"
#include "fordwood/stop_plan.hpp"

namespace fordwood::apps {

namespace {

using adapters::Event;
using adapters::logEvent;

constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kIdleWait = std::chrono::milliseconds(200);
constexpr Duration kStopPoll = std::chrono::milliseconds(20);

// The time for the answers that are sent when the time of a planned stop has passed.
constexpr Duration kLastAnswersTime = std::chrono::milliseconds(100);

// How long connections stay open after the last answer of a planned stop. The heads of answers that
// began before the stop announced no close, so their callers may send another request.
constexpr Duration kKeptConnectionTime = std::chrono::milliseconds(500);
constexpr std::size_t kEventsPerRound = 256;
// Upper bound of the queued events of one call, so that the ring has space for those of all calls.
constexpr std::size_t kEventsPerCall = 8;
constexpr std::chrono::milliseconds kRetryDelay{500};

DispatcherLimits limitsOf(const config::Settings &settings)
{
    DispatcherLimits limits;
    limits.maxCalls = settings.entry.maxInFlight;
    limits.ownerTimeout = settings.entry.ownerTimeout;
    limits.node = settings.node.name;
    return limits;
}

} // namespace

EntryNode::EntryNode(const config::Settings &settings)
    : m_settings(settings), m_ring(settings.entry.maxInFlight * kEventsPerCall),
      m_dispatcher(m_clock, limitsOf(settings)),
      m_control(settings.control.listen, settings.node.name),
      m_snapshots(settings.node.failureDomain), m_permits(settings.node.name, *this),
      m_upstreams(m_clock, *this, settings.entry.maxInFlight * 2),
      m_callers(m_clock, settings.entry, *this)
{ }

EntryNode::~EntryNode() = default;

bool EntryNode::start()
{
    if (!m_callers.start()) {
        logEvent(Event::ListenFailed, {{"address", m_settings.entry.listen}});
        return false;
    }
    m_dispatchThread = std::thread([this] { runDispatch(); });
    m_upstreamThread = std::thread([this] { m_upstreams.run(); });
    m_controlThread = std::thread([this] {
        bool lost = false;
        m_control.run(
            [&](const wire::Snapshot &snapshot) {
                if (std::exchange(lost, false))
                    logEvent(Event::ControlBack);
                applySnapshot(snapshot);
            },
            [&](const std::string &why) {
                if (!std::exchange(lost, true))
                    logEvent(Event::ControlLost, {{"why", why}});
            });
    });
    return true;
}

void EntryNode::beginStop(TimePoint signalledAt)
{
    m_stopBegan = true;
    m_signalledAt = signalledAt;
    m_callers.announceClose();
    if (m_settings.entry.stopTimeout > Duration::zero()) {
        StopPlan plan(m_settings.entry.stopTimeout);
        plan.begin(signalledAt, signalledAt);
        m_stopEndsAt = plan.endsAt();
    }
    // The balancer learns of the stop from now on, however late the signal was taken.
    Duration notice = m_settings.entry.stopNotice;
    if (m_stopEndsAt)
        notice = std::clamp(*m_stopEndsAt - m_clock.now(), Duration::zero(), notice);
    std::this_thread::sleep_for(notice);
    pushBlocking(StopEvent{});
}

void EntryNode::finishStop()
{
    waitForAnswers();
    m_callers.stopListening();
    m_isStopOver = true;
    pushBlocking(StopEndEvent{});
    // Requests that come now are rejected at once.
    const TimePoint now = m_clock.now();
    TimePoint until = now + kKeptConnectionTime;
    if (m_stopEndsAt)
        until = std::min(until, std::max(now, *m_stopEndsAt) + kLastAnswersTime);
    std::this_thread::sleep_for(until - now);
    // The HTTP library ends the process if a connection waits for its answer as the server stops.
    // Without processor time, the dispatch thread may not have ended all calls yet.
    while (m_unendedCalls > 0)
        std::this_thread::sleep_for(kStopPoll);
    m_callers.stop();
    m_control.stop();
    m_controlThread.join();
    m_stopping = true;
    m_ring.tryPush(StopEvent{}); // wakes the thread
    m_dispatchThread.join();
    m_permits.close();
    m_upstreams.stop();
    m_upstreamThread.join();
}

// Waits until no call is open, at most until the end of the planned stop.
void EntryNode::waitForAnswers()
{
    // A call with an idempotency key may continue after its caller disconnects.
    while ((m_inFlight > 0 || m_openCallCount > 0)
           && (!m_stopEndsAt || m_clock.now() < *m_stopEndsAt))
        std::this_thread::sleep_for(kStopPoll);
}

std::variant<adapters::DirectAnswer, std::shared_ptr<adapters::Exchange>>
EntryNode::handle(adapters::CallerRequest message)
{
    if (message.path == "/healthz" || message.path == "/readyz" || message.path == "/metrics")
        return operatorAnswer(message.path);
    m_metrics.count("fordwood_requests_total");
    const bool hasKey = !message.header("Idempotency-Key").empty();
    const auto state = m_state.load();
    if (!state)
        return rejectionAnswer(Verdict::of(Reason::NotReady, {}, kRetryDelay), hasKey);
    if (m_inFlight >= m_settings.entry.maxInFlight)
        return rejectionAnswer(Verdict::of(Reason::InFlightLimit, {}, kRetryDelay), hasKey);
    auto parsed = parseRequest(*state, std::move(message), m_clock.now());
    if (!parsed)
        return rejectionAnswer(parsed.error(), hasKey);
    if (auto *answer = std::get_if<adapters::DirectAnswer>(&*parsed))
        return std::move(*answer);
    // Counted before the check: finishStop() sets the flag, and waits for the counted ones after
    // it.
    ++m_inFlight;
    ++m_unendedCalls;
    if (m_isStopOver) {
        --m_unendedCalls;
        --m_inFlight;
        return rejectionAnswer(Verdict::of(Reason::Stopping, {}, kRetryDelay), hasKey);
    }
    auto &parsedRequest = std::get<ParsedRequest>(*parsed);
    parsedRequest.call.id = m_nextCall++;
    auto exchange = std::make_shared<adapters::Exchange>(parsedRequest.call.id,
                                                         std::move(parsedRequest.upstream),
                                                         m_settings.entry.answerBufferBytes);
    const std::lock_guard lock(m_unsubmittedMutex);
    m_unsubmitted.emplace(parsedRequest.call.id, std::move(parsedRequest.call));
    return exchange;
}

void EntryNode::submit(const std::shared_ptr<adapters::Exchange> &exchange)
{
    CallRequest request;
    {
        const std::lock_guard lock(m_unsubmittedMutex);
        request = std::move(m_unsubmitted.extract(exchange->id()).mapped());
    }
    const bool hasKey = request.key.has_value();
    if (m_ring.tryPush(BeginEvent{std::move(request), exchange}))
        return;
    m_metrics.countRefusal(Reason::RingFull);
    Verdict verdict = Verdict::of(Reason::RingFull, {}, kRetryDelay);
    if (hasKey)
        verdict.state = RunState::MayHaveRun;
    exchange->refuse(verdict);
    --m_unendedCalls;
}

void EntryNode::callerLeft(CallId call)
{
    pushBlocking(CallerLeftEvent{call});
}

void EntryNode::exchangeEnded(CallId)
{
    --m_inFlight;
}

void EntryNode::refused(Reason reason)
{
    m_metrics.countRefusal(reason);
}

bool EntryNode::replyArrived(const std::string &owner, const PermitReply &reply)
{
    return m_ring.tryPush(ReplyEvent{owner, reply});
}

void EntryNode::claimAnswered(std::uint64_t claimId, const ClaimAnswer &answer)
{
    pushBlocking(ClaimEvent{claimId, answer});
}

void EntryNode::allowanceAnswered(const std::string &team, std::uint64_t requestId,
                                  const Allowance &allowance)
{
    // If the answer is dropped, the request times out after the owner's timeout, and the allowance
    // expires.
    if (!m_ring.tryPush(AllowanceEvent{team, requestId, allowance}))
        m_metrics.count("fordwood_allowances_dropped_total");
}

void EntryNode::streamLost(const std::string &owner, std::uint64_t stream)
{
    pushBlocking(StreamLostEvent{owner, stream});
}

void EntryNode::attemptFinished(CallId call, unsigned attempt, double cost, StoredAnswer answer)
{
    pushBlocking(FinishedEvent{call, attempt, cost, std::move(answer)});
}

void EntryNode::attemptFailed(CallId call, unsigned attempt, const AttemptFailure &failure)
{
    pushBlocking(FailedEvent{call, attempt, failure});
}

void EntryNode::limitRead(CallId call, unsigned attempt, const ParsedLimit &limit)
{
    // May be dropped: the next answer repeats it.
    if (!m_ring.tryPush(LimitEvent{call, attempt, limit}))
        m_metrics.count("fordwood_limits_dropped_total");
}

void EntryNode::noticeRead(CallId call, unsigned attempt, const UpstreamNotice &notice)
{
    // May be dropped: the next answer repeats it.
    if (!m_ring.tryPush(NoticeEvent{call, attempt, notice}))
        m_metrics.count("fordwood_notices_dropped_total");
}

adapters::DirectAnswer EntryNode::operatorAnswer(const std::string &path)
{
    if (path == "/metrics") {
        m_metrics.setGauge("fordwood_in_flight", static_cast<double>(m_inFlight));
        m_metrics.setGauge("fordwood_connections",
                           static_cast<double>(m_callers.connectionCount()));
        return {200, "text/plain; version=0.0.4", m_metrics.text(), {}};
    }
    if (path == "/healthz")
        return {200, "text/plain", "ok\n", {}};
    if (m_stopBegan)
        return {503, "text/plain", "stopping\n", {}};
    if (!m_ready)
        return {503, "text/plain", "no configuration yet\n", {}};
    return {200, "text/plain", "ready\n", {}};
}

adapters::DirectAnswer EntryNode::rejectionAnswer(Verdict verdict, bool hasKey)
{
    // With an idempotency key, the verdict covers earlier sends of the same key, which may have
    // run. Requests that are invalid in themselves were rejected each time, so their verdict stays.
    constexpr int kTooManyRequests = 429;
    const int status = info(verdict.reason).httpStatus;
    if (hasKey && (status >= 500 || status == kTooManyRequests))
        verdict.state = RunState::MayHaveRun;
    m_metrics.countRefusal(verdict.reason);
    return adapters::answerOf(verdict);
}

void EntryNode::applySnapshot(const wire::Snapshot &snapshot)
{
    std::string error;
    const auto view = m_snapshots.read(snapshot, error);
    if (!view) {
        logEvent(Event::ConfigurationDamaged, {{"error", error}});
        m_metrics.count("fordwood_configuration_damaged_total");
        return;
    }
    const auto state = std::make_shared<const ServingState>(view);
    const auto previous = m_state.exchange(state);
    if (!previous || previous->view->version() != view->version())
        logEvent(Event::ConfigurationApplied, {{"version", view->version()}});
    m_metrics.setGauge("fordwood_configuration_version", static_cast<double>(view->version()));
    m_metrics.setGauge("fordwood_leaving_upstreams", static_cast<double>(view->leaving().size()));
    pushBlocking(StateEvent{state});
    m_ready = true;
}

// For events that must not be lost. The ring is large enough for them; if it is full nevertheless,
// the thread waits, so that the end of a call is not lost.
void EntryNode::pushBlocking(const EntryEvent &event)
{
    while (!m_ring.tryPush(event) && !m_stopping)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void EntryNode::runDispatch()
{
    TimePoint nextTick = m_clock.now() + kTick;
    while (!m_stopping) {
        auto event = m_ring.pop(m_dispatcher.calls() > 0 ? kTick : kIdleWait);
        for (std::size_t n = 0; event; ++n) {
            std::visit([this](auto &it) { on(it); }, *event);
            event = n < kEventsPerRound ? m_ring.tryPop() : std::nullopt;
        }
        m_openCallCount = m_dispatcher.calls();
        if (m_clock.now() >= nextTick) {
            m_dispatcher.tick();
            nextTick = m_clock.now() + kTick;
        }
        // Executing an action may add further actions.
        for (auto actions = m_dispatcher.takeActions(); !actions.empty();
             actions = m_dispatcher.takeActions()) {
            for (const Action &it : actions)
                carryOut(it);
        }
    }
}

void EntryNode::on(BeginEvent &event)
{
    m_openCalls.emplace(event.request.id,
                        OpenCall{event.request, std::move(event.exchange), m_clock.now()});
    m_dispatcher.begin(event.request);
}

void EntryNode::on(const ReplyEvent &event)
{
    m_dispatcher.permitAnswered(event.owner, event.reply);
}

void EntryNode::on(const ClaimEvent &event)
{
    m_dispatcher.claimAnswered(event.claimId, event.answer);
}

void EntryNode::on(const AllowanceEvent &event)
{
    m_dispatcher.allowanceAnswered(event.team, event.requestId, event.allowance);
}

void EntryNode::on(const StreamLostEvent &event)
{
    if (!m_permits.removeStream(event.owner, event.stream))
        return;
    logEvent(Event::OwnerLost, {{"owner", event.owner}});
    m_metrics.count("fordwood_owner_streams_lost_total");
    m_dispatcher.ownerLost(event.owner);
}

void EntryNode::on(const FinishedEvent &event)
{
    m_dispatcher.attemptFinished(event.call, event.attempt, event.cost, event.answer);
    if (m_openCalls.erase(event.call) == 0)
        return;
    --m_unendedCalls;
    m_metrics.count("fordwood_answers_total");
}

void EntryNode::on(const FailedEvent &event)
{
    m_dispatcher.attemptFailed(event.call, event.attempt, event.failure);
}

void EntryNode::on(const LimitEvent &event)
{
    const auto outcome = m_dispatcher.limitRead(event.call, event.attempt, event.limit);
    if (event.limit.isUnreadable && !outcome.upstream.empty())
        m_limitLog.logUnreadable(outcome.upstream, std::to_string(event.call));
    if (outcome.change)
        m_limitLog.logChange(*outcome.change, std::to_string(event.call), outcome.ownRate);
    m_metrics.setGauge("fordwood_limited_upstreams",
                       static_cast<double>(m_dispatcher.limitedUpstreams()));
}

void EntryNode::on(const NoticeEvent &event)
{
    const auto backoff = m_dispatcher.noticeRead(event.call, event.attempt, event.notice);
    if (!backoff)
        return;
    const auto length = std::chrono::duration_cast<std::chrono::milliseconds>(backoff->length);
    adapters::logEvent(adapters::Event::BackoffRequested, {{"upstream", backoff->upstream},
                                                           {"request", std::to_string(event.call)},
                                                           {"draining", event.notice.isDraining},
                                                           {"backoff_ms", length.count()}});
}

void EntryNode::on(const CallerLeftEvent &event)
{
    m_dispatcher.callerLeft(event.call);
}

void EntryNode::on(const StateEvent &event)
{
    m_dispatcher.setView(event.state->view);
}

void EntryNode::on(const StopEvent &)
{
    m_dispatcher.stop();
}

void EntryNode::on(const StopEndEvent &)
{
    m_dispatcher.endAllForStop();
}

void EntryNode::carryOut(const Action &action)
{
    if (const auto *permitRequest = std::get_if<RequestPermit>(&action)) {
        m_permits.requestPermit(*permitRequest);
    } else if (const auto *withdrawal = std::get_if<WithdrawPermitRequest>(&action)) {
        m_permits.withdrawRequest(*withdrawal);
    } else if (const auto *release = std::get_if<ReleasePermit>(&action)) {
        m_permits.release(*release);
    } else if (const auto *adoption = std::get_if<AdoptPermit>(&action)) {
        m_permits.adoptPermit(*adoption);
    } else if (const auto *cancel = std::get_if<CancelAttempt>(&action)) {
        m_upstreams.cancel(*cancel);
    } else if (const auto *retry = std::get_if<CountRetry>(&action)) {
        m_metrics.countRetry(retry->reason);
    } else if (const auto *allowance = std::get_if<RequestAllowance>(&action)) {
        m_metrics.count("fordwood_allowance_asks_total");
        m_permits.requestAllowance(*allowance);
    } else if (const auto *claim = std::get_if<ClaimKey>(&action)) {
        m_permits.claim(*claim);
    } else if (const auto *finish = std::get_if<FinishClaim>(&action)) {
        m_permits.finishClaim(*finish);
    } else if (const auto *stored = std::get_if<EndWithStoredAnswer>(&action)) {
        sendStoredAnswer(*stored);
    } else if (const auto *end = std::get_if<EndCall>(&action)) {
        endExchange(end->call, end->verdict);
    } else if (const auto *send = std::get_if<SendCall>(&action)) {
        sendUpstream(*send);
    }
}

void EntryNode::sendUpstream(const SendCall &send)
{
    const auto open = m_openCalls.find(send.call);
    if (open != m_openCalls.end() && !send.weightVersion.empty())
        setWeightVersion(open->second.exchange->editRequest(), open->second.request,
                         send.weightVersion);
    if (send.resumeFrom)
        m_metrics.count("fordwood_resumed_streams_total");
    if (open != m_openCalls.end())
        open->second.upstream = send.upstream;
    if (open == m_openCalls.end() || !m_upstreams.send({send, open->second.exchange}))
        m_dispatcher.attemptFailed(send.call, send.attempt,
                                   {RunState::NotRun, Reason::RingFull, "", false});
}

// Sends the caller the stored answer to the first request with the same key.
void EntryNode::sendStoredAnswer(const EndWithStoredAnswer &action)
{
    const auto it = m_openCalls.find(action.call);
    if (it == m_openCalls.end())
        return;
    constexpr unsigned kOnlyAttempt = 1;
    adapters::AnswerHead head{action.answer.status, {}, false};
    if (!action.answer.contentType.empty())
        head.headers.emplace_back("Content-Type", action.answer.contentType);
    head.headers.emplace_back("Fordwood-Repeated", "true");
    if (it->second.exchange->begin(kOnlyAttempt, std::move(head))) {
        it->second.exchange->append(kOnlyAttempt, action.answer.body);
        it->second.exchange->finish(kOnlyAttempt);
    }
    m_openCalls.erase(it);
    --m_unendedCalls;
    m_metrics.count("fordwood_repeated_answers_total");
}

void EntryNode::endExchange(CallId call, const Verdict &verdict)
{
    const auto it = m_openCalls.find(call);
    if (it == m_openCalls.end())
        return;
    const bool isCut = it->second.exchange->refuse(verdict) && m_isStopOver;
    if (isCut) {
        logCut(call, it->second, verdict);
        m_metrics.count("fordwood_requests_cut_by_stop_total");
    }
    m_openCalls.erase(it);
    --m_unendedCalls;
    m_metrics.countRefusal(verdict.reason);
    if (!isCut && verdict.state != RunState::NotRun && verdict.reason != Reason::CallerLeft)
        logEvent(Event::AnswerBroken,
                 {{"call", call}, {"reason", std::string(info(verdict.reason).name)}});
}

void EntryNode::logCut(CallId call, const OpenCall &open, const Verdict &verdict) const
{
    logEvent(Event::RequestCutByStop,
             {{"call", call},
              {"request", adapters::headerValue(open.exchange->request().headers, "X-Request-Id")},
              {"upstream", open.upstream},
              {"reason", std::string(info(verdict.reason).name)},
              {"may_run_again", open.request.repeatable},
              {"arrived_ms", open.arrivedAt - m_signalledAt},
              {"ms", m_clock.now() - open.arrivedAt}});
}

} // namespace fordwood::apps
