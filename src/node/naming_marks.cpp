// SPDX-License-Identifier: MIT
#include "node/naming_marks.hpp"

#include <charconv>
#include <string_view>

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

constexpr std::string_view kKeyPrefix = "fordwood/named/";

// A lease runs from the time at which its request arrives at the store. If the answer takes longer
// than this, the lease may expire too late, and is revoked.
constexpr Duration kMaxGrantTime = std::chrono::milliseconds(250);

// A completed write appears in the copy of the store within this time.
constexpr Duration kRetryPause = std::chrono::milliseconds(700);

// Returns nothing if the value is not a version.
std::optional<std::uint64_t> parseNewestBefore(std::string_view value)
{
    std::uint64_t newestBefore = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), newestBefore);
    const bool isComplete = ec == std::errc() && end == value.data() + value.size();
    return isComplete ? std::optional(newestBefore) : std::nullopt;
}

} // namespace

std::string NamingMarks::keyOf(const std::string &model, std::uint64_t version)
{
    return std::string(kKeyPrefix) + model + "/" + std::to_string(version);
}

void NamingMarks::read(std::optional<TimePoint> completeAsOf)
{
    if (!completeAsOf)
        return;
    for (const auto &[model, versions] : m_tracker.histories()) {
        for (const auto &[version, naming] : versions.named()) {
            const StoredItem *mark = m_replica.find(keyOf(model, version));
            const auto newestBefore
                = mark != nullptr ? parseNewestBefore(*mark->value) : std::nullopt;
            if (newestBefore)
                m_tracker.recordFromMark(model, version, *completeAsOf - m_limits.ttl,
                                         *newestBefore);
        }
    }
}

// Chosen so that the mark expires `ttl` after the naming at the latest, whenever the call arrives.
Duration NamingMarks::leaseFor(const WeightNaming &naming) const
{
    if (!naming.named.earliest || !naming.newestBefore)
        return Duration::zero();
    return *naming.named.earliest + m_limits.ttl - kMaxGrantTime - m_clock.now();
}

void NamingMarks::write(Duration delay)
{
    const TimePoint now = m_clock.now();
    for (const auto &[model, versions] : m_tracker.histories()) {
        for (const auto &[version, naming] : versions.named()) {
            const Duration lease = leaseFor(naming);
            const bool isNeeded = lease >= m_limits.minLease && now - naming.named.latest >= delay
                                  && m_replica.find(keyOf(model, version)) == nullptr;
            if (isNeeded)
                grant({model, version}, *naming.newestBefore, lease);
        }
    }
}

void NamingMarks::grant(const Naming &naming, std::uint64_t newestBefore, Duration lease)
{
    Write &write = m_writes[naming];
    const TimePoint requestedAt = m_clock.now();
    if (write.isPending || requestedAt < write.nextAttempt)
        return;
    write.isPending = true;
    m_store.send(platform::grantCall(lease), [this, naming, newestBefore, requestedAt,
                                              lease](const HttpResult &result) {
        const auto granted = platform::readGrant(result);
        const bool isLate = m_clock.now() - requestedAt > kMaxGrantTime;
        const bool isOwn = granted && granted->lease.isValidIn(m_store.epoch());
        if (isOwn && !isLate && granted->ttl <= lease) {
            put(naming, newestBefore, granted->lease.id);
            return;
        }
        if (isOwn)
            m_store.send(platform::revokeCall(granted->lease.id), [](const HttpResult &) {
                // A lease without a key has no effect, so the result is ignored.
            });
        onWriteFinished(naming);
    });
}

void NamingMarks::put(const Naming &naming, std::uint64_t newestBefore, std::int64_t lease)
{
    const std::string key = keyOf(naming.first, naming.second);
    m_store.send(platform::putCall(key, std::to_string(newestBefore), lease, true),
                 [this, naming](const HttpResult &result) {
                     if (platform::readPut(result).result == WriteResult::Done)
                         logEvent(Event::NamingMarked,
                                  {{"model", naming.first}, {"weights", naming.second}});
                     onWriteFinished(naming);
                 });
}

void NamingMarks::onWriteFinished(const Naming &naming)
{
    Write &write = m_writes[naming];
    write.isPending = false;
    write.nextAttempt = m_clock.now() + kRetryPause;
}

} // namespace fordwood::node
