// SPDX-License-Identifier: MIT
#include "node/weight_news.hpp"

#include <algorithm>
#include <chrono>

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;
using std::chrono::milliseconds;

// A word that moves a time by less than this is not logged: each peer's differs by its delay.
constexpr Duration kLeastToLog = milliseconds(250);

NamedAge ageOf(const WeightNaming &naming, TimePoint now)
{
    NamedAge age;
    age.least = std::chrono::floor<milliseconds>(now - naming.named.latest);
    if (naming.named.earliest && naming.newestBefore) {
        age.most = std::chrono::ceil<milliseconds>(now - *naming.named.earliest);
        age.after = naming.newestBefore;
    }
    return age;
}

bool isWorthLogging(const EventTime &before, const EventTime &now)
{
    if (before.earliest.has_value() != now.earliest.has_value())
        return true;
    const Duration earliest = now.earliest ? *now.earliest - *before.earliest : Duration::zero();
    return std::chrono::abs(earliest) >= kLeastToLog || before.latest - now.latest >= kLeastToLog;
}

} // namespace

void WeightNews::read(const std::string &model, std::uint64_t version,
                      std::optional<TimePoint> notBefore)
{
    std::uint64_t &newest = m_newestRead[model];
    if (version <= newest)
        return; // written again, which is no naming
    // Zero where none had been named: engines ran what they came with.
    WeightNaming naming{{notBefore, m_clock.now()}, std::nullopt};
    if (notBefore)
        naming.newestBefore = newest;
    newest = version;
    note(model, version, naming, m_node);
}

void WeightNews::heard(const std::string &peer, const NamedWeights &named)
{
    const TimePoint now = m_clock.now();
    for (const auto &[model, versions] : named) {
        for (const auto &[version, age] : versions) {
            WeightNaming naming{{std::nullopt, now - age.least}, age.after};
            if (age.most)
                naming.named.earliest = now - *age.most;
            note(model, version, naming, peer);
        }
    }
}

void WeightNews::marked(const std::string &model, std::uint64_t version, TimePoint moment,
                        std::uint64_t after)
{
    note(model, version, {{moment, m_clock.now()}, after}, "mark");
}

NamedWeights WeightNews::forPeers() const
{
    NamedWeights named;
    for (const auto &[model, history] : m_histories) {
        for (const auto &[version, naming] : history.named())
            named[model][version] = ageOf(naming, m_clock.now());
    }
    return named;
}

void WeightNews::note(const std::string &model, std::uint64_t version, const WeightNaming &naming,
                      const std::string &from)
{
    WeightHistory &history = m_histories[model];
    const std::optional<WeightNaming> before = history.find(version);
    if (!history.record(version, naming))
        return;
    const std::optional<WeightNaming> known = history.find(version);
    if (!known)
        return;
    if (!before || isWorthLogging(before->named, known->named)) {
        const NamedAge age = ageOf(*known, m_clock.now());
        logEvent(Event::WeightsAgeLearnt,
                 {{"model", model},
                  {"weights", version},
                  {"age_at_least_ms", age.least.count()},
                  {"age_at_most_ms", age.most ? std::to_string(age.most->count()) : "unknown"},
                  {"after", known->newestBefore.value_or(0)},
                  {"from", from}});
    }
    m_learnt(model, version, history);
}

} // namespace fordwood::node
