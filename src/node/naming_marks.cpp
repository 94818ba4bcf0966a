// SPDX-License-Identifier: MIT
#include "node/naming_marks.hpp"

#include <charconv>
#include <string_view>

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

constexpr std::string_view kPrefix = "fordwood/named/";

// A lease runs from the arrival of the call that asked for it: one that was answered later than
// this may run on for too long, and is ended.
constexpr Duration kLongestGrant = std::chrono::milliseconds(250);

// A write that was done shows in the copy of the store within this.
constexpr Duration kRetryPause = std::chrono::milliseconds(700);

// Nothing: the value is no version.
std::optional<std::uint64_t> readAfter(std::string_view value)
{
    std::uint64_t after = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), after);
    const bool isWhole = ec == std::errc() && end == value.data() + value.size();
    return isWhole ? std::optional(after) : std::nullopt;
}

} // namespace

std::string NamingMarks::keyOf(const std::string &model, std::uint64_t version)
{
    return std::string(kPrefix) + model + "/" + std::to_string(version);
}

void NamingMarks::read(std::optional<TimePoint> completeAsOf)
{
    if (!completeAsOf)
        return;
    for (const auto &[model, versions] : m_news.all()) {
        for (const auto &[version, naming] : versions.named()) {
            const StoredItem *mark = m_replica.find(keyOf(model, version));
            const auto after = mark != nullptr ? readAfter(*mark->value) : std::nullopt;
            if (after)
                m_news.marked(model, version, *completeAsOf - m_limits.life, *after);
        }
    }
}

// So long that the mark ends with its life at the latest, whenever the call arrives.
Duration NamingMarks::leaseFor(const WeightNaming &naming) const
{
    if (!naming.named.earliest || !naming.newestBefore)
        return Duration::zero();
    return *naming.named.earliest + m_limits.life - kLongestGrant - m_clock.now();
}

void NamingMarks::write(Duration patience)
{
    const TimePoint now = m_clock.now();
    for (const auto &[model, versions] : m_news.all()) {
        for (const auto &[version, naming] : versions.named()) {
            const Duration lease = leaseFor(naming);
            const bool isWanted = lease >= m_limits.leastLease
                                  && now - naming.named.latest >= patience
                                  && m_replica.find(keyOf(model, version)) == nullptr;
            if (isWanted)
                grant({model, version}, *naming.newestBefore, lease);
        }
    }
}

void NamingMarks::grant(const Naming &naming, std::uint64_t after, Duration lease)
{
    Write &write = m_writes[naming];
    const TimePoint asked = m_clock.now();
    if (write.isBusy || asked < write.next)
        return;
    write.isBusy = true;
    m_store.send(
        platform::grantCall(lease), [this, naming, after, asked, lease](const HttpResult &result) {
            const auto granted = platform::readGrant(result);
            const bool isLate = m_clock.now() - asked > kLongestGrant;
            const bool isOwn = granted && granted->lease.isValidIn(m_store.epoch());
            if (isOwn && !isLate && granted->ttl <= lease) {
                put(naming, after, granted->lease.id);
                return;
            }
            if (isOwn)
                m_store.send(platform::revokeCall(granted->lease.id), [](const HttpResult &) {
                    // A lease without a key harms nobody.
                });
            finished(naming);
        });
}

void NamingMarks::put(const Naming &naming, std::uint64_t after, std::int64_t lease)
{
    const std::string key = keyOf(naming.first, naming.second);
    m_store.send(platform::putCall(key, std::to_string(after), lease, true), [this, naming](
                                                                                 const HttpResult
                                                                                     &result) {
        if (platform::readPut(result).result == WriteResult::Done)
            logEvent(Event::NamingMarked, {{"model", naming.first}, {"weights", naming.second}});
        finished(naming);
    });
}

void NamingMarks::finished(const Naming &naming)
{
    Write &write = m_writes[naming];
    write.isBusy = false;
    write.next = m_clock.now() + kRetryPause;
}

} // namespace fordwood::node
