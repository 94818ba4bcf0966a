// SPDX-License-Identifier: MIT
#include "node/weight_news.hpp"

#include <chrono>

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;
using std::chrono::milliseconds;

// A word that moves a time by less than this is not logged: each peer's differs by its delay.
constexpr Duration kLeastToLog = milliseconds(250);

NamedAge ageOf(const EventTime &named, TimePoint now)
{
    NamedAge age;
    age.least = std::chrono::floor<milliseconds>(now - named.latest);
    if (named.earliest)
        age.most = std::chrono::ceil<milliseconds>(now - *named.earliest);
    return age;
}

bool isWorthLogging(const std::optional<EventTime> &before, const EventTime &now)
{
    if (!before || before->earliest.has_value() != now.earliest.has_value())
        return true;
    const Duration earliest = now.earliest ? *now.earliest - *before->earliest : Duration::zero();
    return std::chrono::abs(earliest) >= kLeastToLog || before->latest - now.latest >= kLeastToLog;
}

} // namespace

void WeightNews::read(const std::string &model, std::uint64_t version,
                      std::optional<TimePoint> notBefore)
{
    note(model, version, {notBefore, m_clock.now()}, m_node);
}

void WeightNews::heard(const std::string &peer, const NamedWeights &named)
{
    const TimePoint now = m_clock.now();
    for (const auto &[model, versions] : named) {
        for (const auto &[version, age] : versions) {
            EventTime when{std::nullopt, now - age.least};
            if (age.most)
                when.earliest = now - *age.most;
            note(model, version, when, peer);
        }
    }
}

void WeightNews::happenedAfter(const std::string &model, std::uint64_t version, TimePoint moment)
{
    note(model, version, {moment, m_clock.now()}, "mark");
}

NamedWeights WeightNews::forPeers() const
{
    NamedWeights named;
    for (const auto &[model, history] : m_histories) {
        for (const auto &[version, when] : history.named())
            named[model][version] = ageOf(when, m_clock.now());
    }
    return named;
}

void WeightNews::note(const std::string &model, std::uint64_t version, const EventTime &named,
                      const std::string &from)
{
    WeightHistory &history = m_histories[model];
    const std::optional<EventTime> before = history.find(version);
    if (!history.note(version, named))
        return;
    const std::optional<EventTime> known = history.find(version);
    if (!known)
        return;
    if (isWorthLogging(before, *known)) {
        const NamedAge age = ageOf(*known, m_clock.now());
        logEvent(Event::WeightsAgeLearnt,
                 {{"model", model},
                  {"weights", version},
                  {"age_ms", age.least.count()},
                  {"age_at_most_ms", age.most ? std::to_string(age.most->count()) : "unknown"},
                  {"from", from}});
    }
    m_learnt(model, version, history);
}

} // namespace fordwood::node
