// SPDX-License-Identifier: MIT
#include "fordwood/gossip_queue.hpp"

#include <algorithm>
#include <array>

namespace fordwood {

namespace {

// From one telling to the next: three in a row against lost messages, the others for peers that
// were cut off for some seconds. Who is away for longer reads the platform's store.
constexpr std::array<Duration, 5> kResendDelays{Duration::zero(), Duration::zero(),
                                                std::chrono::seconds(1), std::chrono::seconds(2),
                                                std::chrono::seconds(4)};

// News in one message, so that it stays small when many upstreams end at once: some 5 KB.
constexpr std::size_t kMaxPerMessage = 200;

// News that wait to be told: what 30 engines with 64 requests each break off at once. Beyond it the
// oldest, which have been told most often, go.
constexpr std::size_t kMaxItems = 2'048;

} // namespace

void GossipQueue::add(const RequestNews &news)
{
    if (m_items.size() == kMaxItems)
        m_items.pop_front();
    m_items.push_back({news, 0, m_clock.now()});
}

bool GossipQueue::hasUnsent() const
{
    return std::any_of(m_items.begin(), m_items.end(),
                       [](const Item &it) { return it.timesSent == 0; });
}

std::vector<RequestNews> GossipQueue::takeDue()
{
    std::vector<RequestNews> news;
    const TimePoint now = m_clock.now();
    for (Item &it : m_items) {
        if (now < it.due || news.size() == kMaxPerMessage)
            continue;
        news.push_back(it.news);
        it.timesSent += 1;
        if (it.timesSent <= kResendDelays.size())
            it.due = now + kResendDelays[it.timesSent - 1];
    }
    std::erase_if(m_items, [](const Item &it) { return it.timesSent > kResendDelays.size(); });
    return news;
}

} // namespace fordwood
