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

// What an upstream tells of itself through the platform. Every start of an upstream is a new
// instance with an id of its own, also where it goes on under the id by which it knows itself.
struct UpstreamRecord
{
    std::string instanceId; // of this life
    std::string announcedId; // by which it knows itself
    std::optional<WallTime> born; // when this life began; nothing: it does not say
    std::string service;
    std::string address; // IP:port; may be given to another upstream later
    std::string failureDomain;
    std::size_t slots = 1;
    bool draining = false; // gets no new work
    std::chrono::milliseconds coldFor{0}; // from when the record was written; bears less until then
    std::map<std::string, std::uint64_t> weightVersions; // by model; empty for plain services
};

} // namespace fordwood

#endif // FORDWOOD_UPSTREAM_RECORD_HPP_INCLUDED
