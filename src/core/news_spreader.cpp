// SPDX-License-Identifier: MIT
#include "fordwood/news_spreader.hpp"

#include <algorithm>
#include <array>

namespace fordwood {

namespace {

// From one telling to the next: three in a row against lost messages, the others for peers that
// were cut off for some seconds. Who is away for longer reads the platform's store.
constexpr std::array<Duration, 5> kPauses{Duration::zero(), Duration::zero(),
                                          std::chrono::seconds(1), std::chrono::seconds(2),
                                          std::chrono::seconds(4)};

// News in one message, so that it stays small when many upstreams end at once: some 5 KB.
constexpr std::size_t kMostInMessage = 200;

// News that wait to be told: what 30 engines with 64 requests each break off at once. Beyond it the
// oldest, which have been told most often, go.
constexpr std::size_t kMostItems = 2'048;

} // namespace

void NewsSpreader::add(const QuarantineUpdate &news)
{
    if (m_items.size() == kMostItems)
        m_items.pop_front();
    m_items.push_back({news, 0, m_clock.now()});
}

bool NewsSpreader::hasNew() const
{
    return std::any_of(m_items.begin(), m_items.end(), [](const Item &it) { return it.told == 0; });
}

std::vector<QuarantineUpdate> NewsSpreader::next()
{
    std::vector<QuarantineUpdate> news;
    const TimePoint now = m_clock.now();
    for (Item &it : m_items) {
        if (now < it.due || news.size() == kMostInMessage)
            continue;
        news.push_back(it.news);
        it.told += 1;
        if (it.told <= kPauses.size())
            it.due = now + kPauses[it.told - 1];
    }
    std::erase_if(m_items, [](const Item &it) { return it.told > kPauses.size(); });
    return news;
}

} // namespace fordwood
