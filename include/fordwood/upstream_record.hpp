// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_UPSTREAM_RECORD_HPP_INCLUDED
#define FORDWOOD_UPSTREAM_RECORD_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "fordwood/clock.hpp"

namespace fordwood {

// The record that an upstream publishes through the platform. Every start of an upstream is a new
// instance with its own id, even if the upstream announces itself under the same id as before.
struct UpstreamRecord
{
    std::string instanceId; // of this start
    std::string announcedId; // id under which the upstream announces itself
    std::optional<WallTime> startedAt; // start of this instance; nothing: not published
    std::string service;
    std::string address; // IP:port; another upstream may get it later
    std::string failureDomain;
    // Of the upstream's software. Streams of different versions do not fit together.
    std::string softwareVersion;
    std::size_t slots = 1;
    bool draining = false; // accepts no new requests
    std::chrono::milliseconds coldFor{
        0}; // cold for this long after the record was written: takes less load
    std::map<std::string, std::uint64_t> weightVersions; // by model; empty for plain services
};

} // namespace fordwood

#endif // FORDWOOD_UPSTREAM_RECORD_HPP_INCLUDED
