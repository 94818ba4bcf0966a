// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_STREAM_ORIGINS_HPP_INCLUDED
#define FORDWOOD_STREAM_ORIGINS_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood {

// Where a stream began. It can only go on there.
struct StreamOrigin
{
    std::string service;
    std::string version; // of the upstream's software

    bool operator==(const StreamOrigin &) const = default;
};

// Names a stream, the same at all nodes: a hash of the attempt that brought its first event, and of
// the team and the route, so that no caller can name a stream of another team.
using StreamKey = std::uint64_t;

StreamKey streamKey(std::string_view firstAttempt, std::string_view team, std::string_view host,
                    std::string_view pathPrefix);

// A stream and where it began, as nodes tell each other.
struct KnownStream
{
    StreamKey key = 0;
    StreamOrigin origin;
    TimePoint expiresAt{}; // its caller does not take it up later
};

// Remembers where streams began until their callers no longer take them up. Bounded; if there are
// too many streams, those that expire first are dropped.
class StreamOrigins
{
public:
    struct Limits
    {
        // More than a node of the largest fleet learns of in half a minute.
        std::size_t maxStreams = 16'384;
    };

    explicit StreamOrigins(const Clock &clock) : StreamOrigins(clock, Limits{}) { }
    StreamOrigins(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    // Returns whether the stream was unknown, or expires later than known so far. The origin of a
    // known stream does not change.
    bool record(const KnownStream &stream);

    // Nothing: unknown, or no longer remembered.
    std::optional<StreamOrigin> find(StreamKey key) const;

    // The streams of a service.
    std::vector<KnownStream> of(const std::string &service) const;

    // Nothing: unknown.
    std::optional<KnownStream> stream(StreamKey key) const;

    // Forgets expired streams.
    void tick();

    std::size_t size() const { return m_streams.size(); }

private:
    using Expiry = std::pair<TimePoint, StreamKey>;

    const Clock &m_clock;
    const Limits m_limits;
    std::unordered_map<StreamKey, KnownStream> m_streams;
    std::set<Expiry> m_byExpiry;
};

} // namespace fordwood

#endif // FORDWOOD_STREAM_ORIGINS_HPP_INCLUDED
