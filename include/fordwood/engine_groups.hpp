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

// Whether a prompt is short for its engine: many of its kind fit into the engine's memory.
bool isShortPrompt(const Prompt &prompt, const EngineTraits &traits);

// How much context short prompts share, in tokens: what engines need to keep so that none of it is
// computed again. Each node counts the contexts of its own requests and adds what its peers tell.
class ShortPromptDemand
{
public:
    explicit ShortPromptDemand(const Clock &clock, Duration window = std::chrono::seconds(20))
        : m_clock(clock), m_window(window)
    { }

    void count(const Prompt &prompt);

    // Tokens of this node's contexts of late.
    std::size_t ownTokens();

    void setPeer(const std::string &peer, std::size_t tokens);

    // Tokens of all nodes.
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

// The engines that short prompts prefer and long ones avoid. Without it, each long prompt drives
// the contexts of some hundred short ones out of an engine's memory, and makes those that run there
// wait for its own computation. The set is the same on all nodes that see the same engines, and one
// more engine in it moves few contexts.
std::set<std::string> enginesForShortPrompts(const std::vector<const UpstreamRecord *> &engines,
                                             const EngineTraits &traits, std::size_t demandTokens);

} // namespace fordwood

#endif // FORDWOOD_ENGINE_GROUPS_HPP_INCLUDED
