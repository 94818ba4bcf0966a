// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ENGINE_GROUPS_HPP_INCLUDED
#define FORDWOOD_ENGINE_GROUPS_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/prompt.hpp"
#include "fordwood/serving_config.hpp"
#include "fordwood/upstream_record.hpp"

namespace fordwood {

// Whether a prompt is short for an engine: many prompts of its size fit into the engine's memory.
bool isShortPrompt(const Prompt &prompt, const EngineTraits &traits);

// Estimates how much shared context short prompts use, in tokens: what engines must keep so that
// none of it is recomputed. Each node counts the contexts of its own requests and adds the totals
// that its peers report.
class ShortPromptDemand
{
public:
    explicit ShortPromptDemand(const Clock &clock, Duration window = std::chrono::seconds(20))
        : m_clock(clock), m_window(window)
    { }

    void count(const Prompt &prompt);
    // The same, for a known hash of the shared parts.
    void count(std::uint64_t context, std::size_t sharedTokens);

    // Tokens of the contexts that this node's requests used recently.
    std::size_t ownTokens();

    void setPeer(const std::string &peer, std::size_t tokens);

    // Tokens of this node and its peers.
    std::size_t total();

private:
    struct OwnContext
    {
        std::size_t tokens = 0;
        TimePoint lastUsed{};
    };
    struct PeerDemand
    {
        std::size_t tokens = 0;
        TimePoint receivedAt{};
    };

    const Clock &m_clock;
    const Duration m_window;
    std::unordered_map<std::uint64_t, OwnContext> m_contexts; // by hash
    std::map<std::string, PeerDemand> m_peers;
};

// The largest number of engines that may be for short prompts; zero if there are too few engines.
std::size_t maxShortPromptEngines(std::size_t engines);

// How many engines have the memory for shared context of this size, beside running requests.
std::size_t enginesForSharedContext(const EngineTraits &traits, std::size_t tokens);

// Selects this many engines for short prompts. All nodes that see the same engines select the same
// ones, and adding one engine moves few contexts.
std::set<std::string> selectShortPromptEngines(const std::vector<const UpstreamRecord *> &engines,
                                               std::size_t count);

// Selects the engines that short prompts prefer and long ones avoid, by the size of the contexts of
// short prompts. Without this group, each long prompt evicts the contexts of some hundred short
// ones from an engine's memory and delays the requests that run there.
std::set<std::string> enginesForShortPrompts(const std::vector<const UpstreamRecord *> &engines,
                                             const EngineTraits &traits, std::size_t demandTokens);

} // namespace fordwood

#endif // FORDWOOD_ENGINE_GROUPS_HPP_INCLUDED
