// SPDX-License-Identifier: MIT
#include "fordwood/quarantine.hpp"

#include <algorithm>

namespace fordwood {

bool Quarantine::take(const RequestNews &news)
{
    return news.brokenLife ? noteEnd(news.request, *news.brokenLife) : noteAnswer(news.request);
}

bool Quarantine::noteAnswer(const RequestFingerprint &request)
{
    const auto it = m_entries.find(request);
    if (it == m_entries.end() || it->second.isAnswered)
        return false;
    it->second.isAnswered = true;
    it->second.brokenLives.clear();
    it->second.lastNews = m_clock.now();
    return true;
}

bool Quarantine::noteEnd(const RequestFingerprint &request, std::uint64_t life)
{
    if (!m_entries.contains(request))
        makeRoom();
    Entry &entry = m_entries[request];
    std::vector<std::uint64_t> &lives = entry.brokenLives;
    if (entry.isAnswered || std::find(lives.begin(), lives.end(), life) != lives.end())
        return false;
    const bool isTold = lives.size() < m_limits.mostLives;
    if (isTold)
        lives.push_back(life);
    entry.lastNews = m_clock.now();
    if (lives.size() >= m_limits.ends)
        entry.heldUntil = entry.lastNews + m_limits.holdFor;
    return isTold;
}

void Quarantine::makeRoom()
{
    if (m_entries.size() < m_limits.most)
        return;
    auto oldest = m_entries.end();
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        const bool isOlder
            = oldest == m_entries.end() || it->second.lastNews < oldest->second.lastNews;
        if (!isHeld(it->first) && isOlder)
            oldest = it;
    }
    m_entries.erase(oldest == m_entries.end() ? m_entries.begin() : oldest);
}

bool Quarantine::isSuspect(const RequestFingerprint &request) const
{
    const auto it = m_entries.find(request);
    return it != m_entries.end() && !it->second.isAnswered;
}

Duration Quarantine::heldFor(const RequestFingerprint &request) const
{
    const auto it = m_entries.find(request);
    if (it == m_entries.end() || it->second.isAnswered)
        return Duration::zero();
    return std::max(it->second.heldUntil - m_clock.now(), Duration::zero());
}

bool Quarantine::isHeld(const RequestFingerprint &request) const
{
    return heldFor(request) > Duration::zero();
}

std::vector<std::uint64_t> Quarantine::endsUnder(const RequestFingerprint &request) const
{
    const auto it = m_entries.find(request);
    return it == m_entries.end() ? std::vector<std::uint64_t>{} : it->second.brokenLives;
}

std::size_t Quarantine::heldRequests() const
{
    return static_cast<std::size_t>(std::count_if(
        m_entries.begin(), m_entries.end(), [this](const auto &it) { return isHeld(it.first); }));
}

void Quarantine::tick()
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_entries, [&](const auto &it) {
        const Entry &entry = it.second;
        return now - entry.lastNews
               >= (entry.isAnswered ? m_limits.vouchFor : m_limits.forgetAfter);
    });
}

} // namespace fordwood
