// SPDX-License-Identifier: MIT
#include "adapters/observe/limit_log.hpp"

#include <chrono>

#include "adapters/observe/event_log.hpp"

namespace fordwood::adapters {

namespace {

Event eventOf(const LimitChange &change)
{
    if (!change.now)
        return Event::LimitLifted;
    return change.before ? Event::LimitChanged : Event::LimitNamed;
}

} // namespace

void LimitLog::logChange(const LimitChange &change, std::string_view source,
                         std::optional<double> ownRate)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(change.age);
    logEvent(eventOf(change), {{"upstream", change.instanceId},
                               {"per_second", change.now.value_or(0.0)},
                               {"before", change.before.value_or(0.0)},
                               {"belief", change.version},
                               {"own_part", ownRate.value_or(0.0)},
                               {"source", std::string(source)},
                               {"age_ms", age.count()}});
}

void LimitLog::logBrittleness(const LimitChange &change, std::string_view source)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(change.age);
    logEvent(change.now ? Event::BrittleReported : Event::BrittleEnded,
             {{"upstream", change.instanceId},
              {"rejections_per_second", change.now.value_or(0.0)},
              {"source", std::string(source)},
              {"age_ms", age.count()}});
}

void LimitLog::logUnreadable(const std::string &instanceId, const std::string &requestId)
{
    m_metrics.count("fordwood_unreadable_limits_total");
    if (m_unreadable.insert(instanceId).second)
        logEvent(Event::LimitUnreadable, {{"upstream", instanceId}, {"source", requestId}});
}

} // namespace fordwood::adapters
