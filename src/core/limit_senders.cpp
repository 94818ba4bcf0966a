// SPDX-License-Identifier: MIT
#include "fordwood/limit_senders.hpp"

#include <algorithm>
#include <chrono>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// A node that has had no request for so long has none: callers of a busy service come sooner.
constexpr Duration kWantsFor = std::chrono::seconds(2);

// A node says that it has requests for so long before it sends: longer than its word takes to reach
// all others through two relays, one of which may miss a message.
constexpr Duration kSaidFor = std::chrono::milliseconds(1'500);

// A node that no peer has named for so long is cut off, or counted no more. Some messages may be
// lost, and a relay may be replaced.
constexpr Duration kNamedFor = std::chrono::seconds(1);

// A node that has said nothing new for so long is counted no more: longer than a pause after which
// it ceases to send, so that nobody has its part before it has stopped.
constexpr Duration kCountsFor = std::chrono::seconds(3);

// A word is passed on for less than it counts, and remembered for longer than it can still be on
// its way: what comes back through others neither prolongs it nor is taken for a new one.
constexpr Duration kPassedOnFor = std::chrono::seconds(2);
constexpr Duration kRememberedFor = std::chrono::minutes(1);

} // namespace

bool LimitSenders::isWanting(const Wanting &wanting) const
{
    return wanting.since && isYoungerThan(wanting.last, kWantsFor);
}

bool LimitSenders::isNamed(const Wanting &wanting) const
{
    return m_isAlone || (wanting.named && isYoungerThan(*wanting.named, kNamedFor));
}

std::uint64_t LimitSenders::timeNumber(TimePoint time) const
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

void LimitSenders::want(std::uint64_t upstream)
{
    Wanting &wanting = m_upstreams[upstream];
    // After a pause, or a time in which this process stood still, the others count without it.
    if (!isWanting(wanting))
        wanting.since = m_clock.now();
    wanting.last = m_clock.now();
}

void LimitSenders::hear(Wanting &wanting, const SenderWord &word)
{
    if (word.node == m_self) {
        // A word of before a pause tells nothing of now.
        if (wanting.since && word.said >= timeNumber(*wanting.since))
            wanting.named = m_clock.now();
        return;
    }
    const auto [known, isNew] = wanting.others.try_emplace(word.node);
    if (isNew || word.said > known->second.said)
        known->second = {word.said, m_clock.now()};
}

void LimitSenders::heard(std::uint64_t upstream, const std::vector<SenderWord> &words)
{
    if (words.empty())
        return;
    Wanting &wanting = m_upstreams[upstream];
    std::erase_if(wanting.others, [this](const auto &it) {
        return !isYoungerThan(it.second.when, kRememberedFor);
    });
    for (const SenderWord &it : words)
        hear(wanting, it);
}

std::optional<LimitSenders::Place> LimitSenders::bounded(Place place, std::size_t mostSenders)
{
    if (place.rank >= mostSenders)
        return std::nullopt;
    place.senders = std::min(place.senders, mostSenders);
    return place;
}

std::optional<LimitSenders::Place> LimitSenders::place(std::uint64_t upstream,
                                                       std::size_t mostSenders) const
{
    if (m_alwaysWanting)
        return bounded(
            {rendezvousRank(upstream, m_self, *m_alwaysWanting), m_alwaysWanting->size() + 1},
            mostSenders);
    const auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end() || !isWanting(it->second) || !isNamed(it->second)
        || isYoungerThan(*it->second.since, kSaidFor))
        return std::nullopt;
    const std::uint64_t own = rendezvousWeight(upstream, m_self);
    Place place;
    for (const auto &[node, heard] : it->second.others) {
        if (!isYoungerThan(heard.when, kCountsFor))
            continue;
        place.senders += 1;
        place.rank += rendezvousWeight(upstream, node) > own ? 1 : 0;
    }
    return bounded(place, mostSenders);
}

std::vector<SenderWord> LimitSenders::ownWord(std::uint64_t upstream) const
{
    const auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end() || !isWanting(it->second))
        return {};
    return {{m_self, timeNumber(m_clock.now())}};
}

std::vector<SenderWord> LimitSenders::firstWords(std::uint64_t upstream, std::size_t most) const
{
    std::vector<SenderWord> words = ownWord(upstream);
    const auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end())
        return words;
    for (const auto &[node, heard] : it->second.others) {
        if (isYoungerThan(heard.when, kPassedOnFor))
            words.push_back({node, heard.said});
    }
    std::sort(words.begin(), words.end(), [upstream](const SenderWord &a, const SenderWord &b) {
        return rendezvousWeight(upstream, a.node) > rendezvousWeight(upstream, b.node);
    });
    words.resize(std::min(words.size(), most));
    return words;
}

} // namespace fordwood
