// SPDX-License-Identifier: MIT
#include "fordwood/stream_origins.hpp"

#include "fordwood/rendezvous.hpp"

namespace fordwood {

StreamKey streamKey(std::string_view firstAttempt, std::string_view team, std::string_view host,
                    std::string_view pathPrefix)
{
    return stableHash(firstAttempt, stableHash(team, stableHash(host, stableHash(pathPrefix))));
}

bool StreamOrigins::record(const KnownStream &stream)
{
    if (stream.expiresAt <= m_clock.now())
        return false;
    const auto [it, isNew] = m_streams.try_emplace(stream.key, stream);
    if (!isNew) {
        if (it->second.expiresAt >= stream.expiresAt)
            return false;
        m_byExpiry.erase({it->second.expiresAt, stream.key});
        it->second.expiresAt = stream.expiresAt;
    }
    m_byExpiry.emplace(stream.expiresAt, stream.key);
    if (m_streams.size() <= m_limits.maxStreams)
        return true;
    m_streams.erase(m_byExpiry.begin()->second);
    m_byExpiry.erase(m_byExpiry.begin());
    return true;
}

std::optional<StreamOrigin> StreamOrigins::find(StreamKey key) const
{
    const auto it = m_streams.find(key);
    if (it == m_streams.end() || it->second.expiresAt <= m_clock.now())
        return std::nullopt;
    return it->second.origin;
}

std::vector<KnownStream> StreamOrigins::of(const std::string &service) const
{
    std::vector<KnownStream> found;
    for (const auto &[key, stream] : m_streams) {
        if (stream.origin.service == service)
            found.push_back(stream);
    }
    return found;
}

std::optional<KnownStream> StreamOrigins::stream(StreamKey key) const
{
    const auto it = m_streams.find(key);
    return it == m_streams.end() ? std::nullopt : std::optional(it->second);
}

void StreamOrigins::tick()
{
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= m_clock.now()) {
        m_streams.erase(m_byExpiry.begin()->second);
        m_byExpiry.erase(m_byExpiry.begin());
    }
}

} // namespace fordwood
