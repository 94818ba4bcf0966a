// SPDX-License-Identifier: MIT
#include "node/call_log.hpp"

#include <algorithm>
#include <sstream>

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

auto countNonEmpty(const std::vector<std::string> &addresses)
{
    return std::count_if(addresses.begin(), addresses.end(),
                         [](const std::string &it) { return !it.empty(); });
}

std::int64_t inMilliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

// The ids of the first parts of a prompt, without its last one, for which the predicate of their
// number holds.
template <typename Predicate>
std::string partIds(const Prompt *prompt, Predicate isIncluded)
{
    constexpr std::size_t kMaxParts = 16;
    constexpr std::size_t kMaxIdBytes = 16;
    std::string text;
    std::size_t found = 0;
    for (std::size_t n = 0; prompt != nullptr && n + 1 < prompt->parts.size() && found < kMaxParts;
         ++n) {
        if (!isIncluded(n))
            continue;
        text += (found++ == 0 ? "" : ",") + prompt->parts[n].id.substr(0, kMaxIdBytes);
    }
    return text;
}

// The parts that an engine fetches from stores, and how old this node's knowledge of the weights in
// force was then.
std::string storeFetches(const EngineChoice &choice, const Prompt *prompt)
{
    const std::string parts = partIds(prompt, [&](std::size_t n) {
        return n < choice.fetchFrom.size() && !choice.fetchFrom[n].empty()
               && choice.fetchFrom[n] != choice.sourceEngine;
    });
    if (parts.empty())
        return {};
    const std::string age
        = choice.replicaAge ? std::to_string(inMilliseconds(*choice.replicaAge)) : "unknown";
    return " fetched:" + parts + " replica_age_ms:" + age;
}

std::string engineInputs(const EngineChoice &choice, const Prompt *prompt)
{
    std::ostringstream out;
    out << "context:" << std::hex << choice.context << std::dec
        << " weights:" << choice.weightVersion << " newest:" << choice.newestWeights;
    if (choice.replacedFor)
        out << " replaced_ms:" << inMilliseconds(*choice.replacedFor);
    out << " home:" << choice.isPreferred << " held:" << choice.holdsContext
        << " stored:" << choice.isStored << " fetch:" << countNonEmpty(choice.fetchFrom)
        << " save:" << countNonEmpty(choice.saveTo) << " shared:" << choice.sharedTokens
        << " compute:" << choice.load.tokensToCompute << " found:" << choice.loadBefore.running
        << "/" << choice.loadBefore.tokensToCompute << "/" << choice.loadBefore.tokensHeld
        << " wait:" << inMilliseconds(choice.expectedDelay) << storeFetches(choice, prompt);
    return out.str();
}

std::string upstreamState(const CallSummary &end)
{
    std::ostringstream out;
    if (end.isUpstreamDraining)
        out << "draining";
    if (end.backoff)
        out << (end.isUpstreamDraining ? " " : "") << "backoff_ms:" << inMilliseconds(*end.backoff);
    return out.str();
}

void logOpenRequest(Event event, const OpenRequest &open)
{
    logEvent(event, {{"request", open.request},
                     {"route", open.route},
                     {"may_run_again", open.mayRunAgain},
                     {"upstream", open.upstream},
                     {"sent", open.isSent},
                     {"events_passed", open.eventsPassed},
                     {"arrived_ms", open.arrived},
                     {"ms", open.elapsed},
                     {"attempt_ms", open.attemptElapsed},
                     {"silent_ms", open.silence}});
}

// The ids of the shared parts of a prompt, which other requests may have as well.
std::string sharedParts(const Prompt *prompt)
{
    return partIds(prompt, [](std::size_t) { return true; });
}

} // namespace

void logAttemptFailure(const AttemptFailure &failure)
{
    logEvent(Event::AttemptFailed, {{"request", failure.request},
                                    {"upstream", failure.upstream},
                                    {"cause", failure.cause},
                                    {"events_passed", failure.eventsPassed},
                                    {"open_ms", inMilliseconds(failure.elapsed)},
                                    {"fingerprint", failure.fingerprint.text()},
                                    {"parts", sharedParts(failure.prompt)}});
}

void logUnframedAnswer(const UnframedAnswer &answer)
{
    logEvent(Event::AnswerUnframed, {{"request", answer.request},
                                     {"upstream", answer.upstream},
                                     {"status", answer.status},
                                     {"bytes", answer.bytes},
                                     {"taken_as", answer.isCut ? "cut" : "whole"}});
}

void logStreamResumption(const StreamResumption &resumption)
{
    logEvent(Event::StreamResumed, {{"request", resumption.request},
                                    {"first_attempt", resumption.firstAttempt},
                                    {"last_event", resumption.lastEvent},
                                    {"by", std::string(resumption.by)},
                                    {"began", resumption.began},
                                    {"upstream", resumption.upstream},
                                    {"software", resumption.software}});
}

void logOriginFinding(const OriginFinding &finding)
{
    logEvent(Event::StreamOriginSearched, {{"stream", finding.stream},
                                           {"service", finding.service},
                                           {"known_by", std::string(finding.knownBy)},
                                           {"began", finding.began},
                                           {"versions", finding.versions},
                                           {"complete", finding.isComplete},
                                           {"replies", finding.replies},
                                           {"took_ms", finding.elapsed}});
}

void logStreamOrderBroken(const StreamDisorder &disorder)
{
    logEvent(Event::StreamOrderBroken,
             {{"request", disorder.request},
              {"upstream", disorder.upstream},
              {"last_event", disorder.lastEvent},
              {"found", disorder.found ? std::to_string(*disorder.found) : ""}});
}

void logRequestOpenLate(const OpenRequest &open)
{
    logOpenRequest(Event::RequestOpenLate, open);
}

void logRequestCut(const OpenRequest &cut)
{
    logOpenRequest(Event::RequestCutByStop, cut);
}

void logUnfinishedInStop(const UnfinishedRequest &end)
{
    const OpenRequest &it = end.request;
    logEvent(Event::RequestUnfinishedInStop, {{"request", it.request},
                                              {"outcome", std::string(end.outcome)},
                                              {"status", end.status},
                                              {"left_ms", end.timeLeft},
                                              {"route", it.route},
                                              {"may_run_again", it.mayRunAgain},
                                              {"upstream", it.upstream},
                                              {"events_passed", it.eventsPassed},
                                              {"arrived_ms", it.arrived},
                                              {"ms", it.elapsed},
                                              {"attempt_ms", it.attemptElapsed},
                                              {"silent_ms", it.silence},
                                              {"input_ended", end.hasInputEnded}});
}

void logDroppedCall(const std::string &requestId, const std::string &upstream)
{
    logEvent(Event::CallDropped, {{"request", requestId}, {"upstream", upstream}});
}

void logCallSummary(const CallSummary &end)
{
    constexpr std::int64_t kNoEvent = -1;
    logEvent(Event::RequestEnded,
             {{"request", end.request},
              {"route", end.route},
              {"team", end.team},
              {"configuration", end.configuration},
              {"upstream", end.upstream},
              {"proxy", end.proxy},
              {"sends", end.sends},
              {"outcome", std::string(end.outcome)},
              {"status", end.status},
              {"first_ms", end.firstEvent ? inMilliseconds(*end.firstEvent) : kNoEvent},
              {"ms", inMilliseconds(end.duration)},
              {"upstream_state", upstreamState(end)},
              {"engine", end.engine != nullptr ? engineInputs(*end.engine, end.prompt) : ""}});
}

} // namespace fordwood::node
