// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_COPY_FRESHNESS_HPP_INCLUDED
#define FORDWOOD_COPY_FRESHNESS_HPP_INCLUDED

#include <optional>

#include "fordwood/clock.hpp"
#include "fordwood/standstill_watch.hpp"

namespace fordwood {

// Until when a node's copy of the platform's store is known to have been whole: whatever it learns
// next happened after that. Without it a node that starts, wakes, or was cut off would take old
// news for new.
class CopyFreshness
{
public:
    explicit CopyFreshness(const Clock &clock) : m_clock(clock), m_standstill(clock) { }

    // The copy holds what the store answered to a call that was sent at that time.
    void storeAnswered(TimePoint asked);

    // The store had nothing new to tell until then. Not believed just after this process stood
    // still, since the answer may have waited in its sockets.
    void storeWasQuiet(TimePoint until);

    // A peer that learnt from the store itself, so long ago, that its copy was whole has nothing
    // that this node lacks. Not believed just after a standstill either.
    void peerHasNoMore(Duration age);

    // The store was restored from a snapshot: what showed that the copy was whole says nothing of
    // what the store holds now.
    void storeRestored();

    // Regular work, several times a second.
    void tick() { noteStandstill(); }

    // Nothing: the copy was never known to be whole.
    std::optional<TimePoint> wholeAt() const { return m_wholeAt; }

    // How long ago the store itself showed that the copy was whole; nothing: never. Peers hear this
    // and not wholeAt(), in which their own words come back to them.
    std::optional<Duration> ageByStore() const;

private:
    void noteStandstill();
    bool isWaking();

    const Clock &m_clock;
    std::optional<TimePoint> m_wholeAt;
    std::optional<TimePoint> m_byStore;
    StandstillWatch m_standstill;
    std::optional<TimePoint> m_woke;
};

} // namespace fordwood

#endif // FORDWOOD_COPY_FRESHNESS_HPP_INCLUDED
