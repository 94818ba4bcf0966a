// SPDX-License-Identifier: MIT
#include "node/weight_naming_tracker.hpp"

#include <algorithm>
#include <chrono>

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;
using std::chrono::milliseconds;

// Smaller changes of a time bound are not logged: the values from different peers differ by their
// message delays.
constexpr Duration kMinChangeToLog = milliseconds(250);

NamingAge ageOf(const WeightNaming &naming, TimePoint now)
{
    NamingAge age;
    age.min = std::chrono::floor<milliseconds>(now - naming.named.latest);
    if (naming.named.earliest && naming.newestBefore) {
        age.max = std::chrono::ceil<milliseconds>(now - *naming.named.earliest);
        age.newestBefore = naming.newestBefore;
    }
    return age;
}

bool isWorthLogging(const EventTime &before, const EventTime &now)
{
    if (before.earliest.has_value() != now.earliest.has_value())
        return true;
    const Duration earliest = now.earliest ? *now.earliest - *before.earliest : Duration::zero();
    return std::chrono::abs(earliest) >= kMinChangeToLog
           || before.latest - now.latest >= kMinChangeToLog;
}

} // namespace

void WeightNamingTracker::recordFromStore(const std::string &model, std::uint64_t version,
                                          std::optional<TimePoint> notBefore)
{
    std::uint64_t &newest = m_newestRead[model];
    if (version <= newest)
        return; // the key was rewritten, which is not a new naming
    // Zero if no version had been named: engines ran their initial weights.
    WeightNaming naming{{notBefore, m_clock.now()}, std::nullopt};
    if (notBefore)
        naming.newestBefore = newest;
    newest = version;
    record(model, version, naming, m_node);
}

void WeightNamingTracker::recordFromPeer(const std::string &peer, const NamingAges &named)
{
    const TimePoint now = m_clock.now();
    for (const auto &[model, versions] : named) {
        for (const auto &[version, age] : versions) {
            WeightNaming naming{{std::nullopt, now - age.min}, age.newestBefore};
            if (age.max)
                naming.named.earliest = now - *age.max;
            record(model, version, naming, peer);
        }
    }
}

void WeightNamingTracker::recordFromMark(const std::string &model, std::uint64_t version,
                                         TimePoint moment, std::uint64_t newestBefore)
{
    record(model, version, {{moment, m_clock.now()}, newestBefore}, "mark");
}

NamingAges WeightNamingTracker::agesForPeers() const
{
    NamingAges named;
    for (const auto &[model, history] : m_histories) {
        for (const auto &[version, naming] : history.named())
            named[model][version] = ageOf(naming, m_clock.now());
    }
    return named;
}

void WeightNamingTracker::record(const std::string &model, std::uint64_t version,
                                 const WeightNaming &naming, const std::string &from)
{
    WeightHistory &history = m_histories[model];
    const std::optional<WeightNaming> before = history.find(version);
    if (!history.record(version, naming))
        return;
    const std::optional<WeightNaming> known = history.find(version);
    if (!known)
        return;
    if (!before || isWorthLogging(before->named, known->named)) {
        const NamingAge age = ageOf(*known, m_clock.now());
        logEvent(Event::WeightsAgeLearnt,
                 {{"model", model},
                  {"weights", version},
                  {"age_at_least_ms", age.min.count()},
                  {"age_at_most_ms", age.max ? std::to_string(age.max->count()) : "unknown"},
                  {"after", known->newestBefore.value_or(0)},
                  {"from", from}});
    }
    m_onChange(model, version, history);
}

} // namespace fordwood::node
