// SPDX-License-Identifier: MIT
#include "fordwood/incoming_limit.hpp"

#include <algorithm>
#include <utility>

namespace fordwood {

IncomingLimit::Id IncomingLimit::begin()
{
    m_bytes.emplace(++m_lastId, 0);
    return m_lastId;
}

void IncomingLimit::resize(Id request, std::size_t bytes)
{
    const auto it = m_bytes.find(request);
    if (it == m_bytes.end())
        return;
    m_total = m_total - it->second + bytes;
    it->second = bytes;
}

void IncomingLimit::end(Id request)
{
    resize(request, 0);
    m_bytes.erase(request);
}

std::optional<IncomingLimit::Id> IncomingLimit::excess() const
{
    if (m_total <= m_maxBytes)
        return std::nullopt;
    // The newest of those that are equally large, as the others have got further.
    const auto largest
        = std::max_element(m_bytes.rbegin(), m_bytes.rend(),
                           [](const auto &a, const auto &b) { return a.second < b.second; });
    return largest->first;
}

} // namespace fordwood
