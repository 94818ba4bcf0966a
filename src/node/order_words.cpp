// SPDX-License-Identifier: MIT
#include "node/order_words.hpp"

namespace fordwood::node {

namespace {

// A word that is passed on says how old it is; after this it is in nobody's interest. Longer than
// the life of the lock, shorter than an echo between relays could keep it going.
constexpr Duration kPassOnFor = std::chrono::seconds(2);

// Two that say the same are one word if they seem to be no further apart: what a word takes on its
// way is lost from its age.
constexpr Duration kSameWord = std::chrono::milliseconds(300);

std::chrono::milliseconds inMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

// A new word names another time since the last order.
bool saysTheSame(const OrderWord &a, const OrderWord &b)
{
    return a.lastOrder == b.lastOrder && a.enginesLoading == b.enginesLoading
           && a.weightsShown == b.weightsShown;
}

} // namespace

bool OrderWords::note(const std::string &node, const OrderWord &word)
{
    const TimePoint now = m_clock.now();
    const TimePoint when = now - word.age;
    const auto known = m_said.find(node);
    // Nearly all nodes never order anything: what they say is not worth keeping and passing on.
    if (known == m_said.end() && word.isEmpty())
        return false;
    if (known != m_said.end() && known->second.when > when)
        return false;
    // One that relays pass on again, perhaps after its node's death, keeps no engine out of use.
    if (known != m_said.end() && when - known->second.when < kSameWord
        && saysTheSame(known->second.word, word))
        return false;
    Said said;
    said.word = word;
    said.when = when;
    if (word.lastOrder)
        said.lastOrder = when - *word.lastOrder;
    m_said[node] = std::move(said);
    return true;
}

std::optional<TimePoint> OrderWords::lastOrder(const std::string &node) const
{
    const auto it = m_said.find(node);
    return it == m_said.end() ? std::nullopt : it->second.lastOrder;
}

std::optional<TimePoint> OrderWords::lastSaid(const std::string &node) const
{
    const auto it = m_said.find(node);
    return it == m_said.end() ? std::nullopt : std::optional(it->second.when);
}

std::map<std::string, OrderWord> OrderWords::toPassOn() const
{
    std::map<std::string, OrderWord> words;
    for (const auto &[node, said] : m_said) {
        const Duration age = m_clock.now() - said.when;
        if (age > kPassOnFor || said.word.isEmpty())
            continue;
        OrderWord word = said.word;
        word.age = inMilliseconds(age);
        words[node] = std::move(word);
    }
    return words;
}

} // namespace fordwood::node
