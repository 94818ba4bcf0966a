// SPDX-License-Identifier: MIT
#include "fordwood/engine_groups.hpp"

#include <algorithm>
#include <cmath>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// A prompt is short when this many fit into an engine's memory beside each other.
constexpr std::size_t kShortPart = 32;

// Room for requests that run, beside the contexts that are kept.
constexpr double kRoomForRuns = 1.3;

// The most engines that are set apart: long prompts need the others.
constexpr double kMostPart = 0.4;

} // namespace

bool isShortPrompt(const Prompt &prompt, const EngineTraits &traits)
{
    return prompt.tokensIn * kShortPart <= traits.contextTokens;
}

void ShortContextDemand::count(const Prompt &prompt)
{
    m_contexts[prompt.contextHash()] = {prompt.sharedTokens(), m_clock.now()};
}

std::size_t ShortContextDemand::own()
{
    const TimePoint oldest = m_clock.now() - m_window;
    std::size_t sum = 0;
    std::erase_if(m_contexts, [&](const auto &it) { return it.second.last < oldest; });
    for (const auto &[hash, seen] : m_contexts)
        sum += seen.tokens;
    return sum;
}

void ShortContextDemand::setPeer(const std::string &peer, std::size_t tokens)
{
    m_peers[peer] = {tokens, m_clock.now()};
}

std::size_t ShortContextDemand::total()
{
    const TimePoint oldest = m_clock.now() - m_window;
    std::size_t sum = own();
    for (const auto &[name, told] : m_peers) {
        if (told.when >= oldest)
            sum += told.tokens;
    }
    return sum;
}

std::set<std::string> enginesForShortPrompts(const std::vector<const UpstreamRecord *> &engines,
                                             const EngineTraits &traits, std::size_t demandTokens)
{
    if (engines.size() < 2 || traits.contextTokens == 0 || demandTokens == 0)
        return {};
    const double needed = kRoomForRuns * static_cast<double>(demandTokens)
                          / static_cast<double>(traits.contextTokens);
    const auto most = static_cast<std::size_t>(kMostPart * static_cast<double>(engines.size()));
    const std::size_t n = std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(needed)), 1,
                                                  std::max<std::size_t>(most, 1));
    std::vector<std::uint64_t> hashes;
    hashes.reserve(engines.size());
    for (const UpstreamRecord *it : engines)
        hashes.push_back(stableHash(it->instanceId));
    std::set<std::string> chosen;
    for (const std::size_t it : rendezvousOrder(stableHash("short prompts"), hashes, n))
        chosen.insert(engines[it]->instanceId);
    return chosen;
}

} // namespace fordwood
