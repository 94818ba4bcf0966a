// SPDX-License-Identifier: MIT
#include "fordwood/gossip_queue.hpp"

#include <algorithm>
#include <array>

namespace fordwood {

namespace {

// From one transmission to the next: three in consecutive messages in case some are lost, the
// others for peers that were unreachable for some seconds. Nodes that are unreachable for longer
// read the platform's store.
constexpr std::array<Duration, 5> kResendDelays{Duration::zero(), Duration::zero(),
                                                std::chrono::seconds(1), std::chrono::seconds(2),
                                                std::chrono::seconds(4)};

// Items per message, about 5 KB. Keeps messages small when many upstreams fail at once.
constexpr std::size_t kMaxPerMessage = 200;

// Queued items: enough for 30 engines with 64 requests each that fail at once. When the queue is
// full, the oldest item, which has been sent most often, is dropped.
constexpr std::size_t kMaxItems = 2'048;

} // namespace

void GossipQueue::add(const QuarantineUpdate &update)
{
    if (m_items.size() == kMaxItems)
        m_items.pop_front();
    m_items.push_back({update, 0, m_clock.now()});
}

bool GossipQueue::hasUnsent() const
{
    return std::any_of(m_items.begin(), m_items.end(),
                       [](const Item &it) { return it.timesSent == 0; });
}

std::vector<QuarantineUpdate> GossipQueue::takeDue()
{
    std::vector<QuarantineUpdate> updates;
    const TimePoint now = m_clock.now();
    for (Item &it : m_items) {
        if (now < it.due || updates.size() == kMaxPerMessage)
            continue;
        updates.push_back(it.update);
        it.timesSent += 1;
        if (it.timesSent <= kResendDelays.size())
            it.due = now + kResendDelays[it.timesSent - 1];
    }
    std::erase_if(m_items, [](const Item &it) { return it.timesSent > kResendDelays.size(); });
    return updates;
}

} // namespace fordwood
