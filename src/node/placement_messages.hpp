// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_PLACEMENT_MESSAGES_HPP_INCLUDED
#define FORDWOOD_NODE_PLACEMENT_MESSAGES_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fordwood/placement_ledger.hpp"
#include "fordwood/prompt.hpp"
#include "fordwood/scheduler_ranking.hpp"

namespace fordwood::node {

// Asks a scheduler for an engine.
struct PlacementRequest
{
    PlacementId id;
    std::string service;
    EngineShard shard;
    Prompt prompt;
    std::string isolatedTeam; // empty: the team shares context
    std::uint64_t team = 0; // hash of its name
    std::uint64_t fingerprint = 0; // of the request's content; the same when the caller returns
    // Hashes of instances that this request must not be sent to, or that the node cannot use now.
    std::vector<std::uint64_t> avoid;
    std::chrono::milliseconds targetLatency{0}; // zero: none
    std::chrono::milliseconds remaining{0}; // until the caller's deadline
};

enum class PlacementOutcome {
    Placed,
    Busy, // no engine would start the request in time
    Unavailable, // the scheduler knows of no engine that may take it
};

// The answer to a request. A request that was placed counts as sent until its progress is reported.
struct PlacementReply
{
    std::uint64_t number = 0; // of the request's id
    PlacementOutcome outcome = PlacementOutcome::Unavailable;
    std::string instanceId;
    std::uint64_t weightVersion = 0;
    UpstreamLoad loadBefore; // of the engine, without this request
    std::size_t tokensToCompute = 0; // of this request's prompt
    std::chrono::milliseconds firstTokenDelay{0}; // see EngineChoice
    std::chrono::milliseconds expectedDelay{0};
    std::vector<std::string> saveTo; // store address for each part; empty: none
    std::chrono::milliseconds retryAfter{0};
    std::string sourceEngine; // address to fetch shared parts from; empty: none
};

// What became of a node's requests.
struct PlacementProgress
{
    // A request that the node placed itself.
    struct Local
    {
        std::uint64_t number = 0;
        std::string instanceId;
        RequestLoad load;
        std::chrono::milliseconds remaining{0};
    };

    std::uint64_t process = 0;
    std::vector<Local> placed;
    std::vector<std::uint64_t> computed; // numbers of requests whose prompt has been computed
    std::vector<std::uint64_t> ended;
    std::vector<std::uint64_t> paused; // of these, answers that paused longer than they may

    bool isEmpty() const { return placed.empty() && computed.empty() && ended.empty(); }
};

using PlacementMessage = std::variant<PlacementRequest, PlacementReply, PlacementProgress>;

// Messages are encoded as CBOR. The decoder returns nothing for malformed input and for messages of
// an unknown version.
std::string encodePlacement(const PlacementMessage &message);
std::optional<PlacementMessage> decodePlacement(std::string_view bytes);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_PLACEMENT_MESSAGES_HPP_INCLUDED
