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

// Selects the engines that short prompts prefer and long ones avoid. Without this group, each long
// prompt evicts the contexts of some hundred short ones from an engine's memory and delays the
// requests that run there. All nodes that see the same engines select the same group, and adding
// one engine to it moves few contexts.
std::set<std::string> enginesForShortPrompts(const std::vector<const UpstreamRecord *> &engines,
                                             const EngineTraits &traits, std::size_t demandTokens);

} // namespace fordwood

#endif // FORDWOOD_ENGINE_GROUPS_HPP_INCLUDED
