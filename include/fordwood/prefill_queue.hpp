// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_PREFILL_QUEUE_HPP_INCLUDED
#define FORDWOOD_PREFILL_QUEUE_HPP_INCLUDED

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "fordwood/clock.hpp"

namespace fordwood {

// The size of a prompt, and a hash that identifies its shared context.
struct PromptSize
{
    std::uint64_t prefixHash = 0; // prompts with the same hash begin with the same context
    std::size_t contextTokens = 0;
    std::size_t questionTokens = 0;
};

// Estimates how one engine computes prompts: which contexts it caches, and when it will have
// computed all prompts that it was sent. Engines compute prompts one after the other at a roughly
// fixed rate, so that this, and not the number of running requests, determines how long a new
// prompt waits. A wrong estimate makes a request slower but never an answer wrong. Not thread-safe.
class PrefillQueue
{
public:
    // Sets the engine's tokens per second and the number of context tokens that it caches.
    void setEngine(double tokensPerSecond, std::size_t cacheTokens)
    {
        m_rate = tokensPerSecond;
        m_maxCachedTokens = cacheTokens;
    }

    bool isCached(const PromptSize &prompt) const
    {
        return m_cacheIndex.count(prompt.prefixHash) != 0;
    }

    // Time to compute the part of the prompt that is not cached.
    Duration timeFor(const PromptSize &prompt) const
    {
        const std::size_t context = isCached(prompt) ? 0 : prompt.contextTokens;
        return computeTime(context + prompt.questionTokens);
    }

    // Time to compute the prompt if none of it is cached.
    Duration uncachedTimeFor(const PromptSize &prompt) const
    {
        return computeTime(prompt.contextTokens + prompt.questionTokens);
    }

    // Time until all prompts enqueued so far are computed.
    Duration backlog(TimePoint now) const { return std::max(Duration::zero(), m_idleAt - now); }

    // A prompt was sent to the engine.
    void enqueue(const PromptSize &prompt, TimePoint now)
    {
        m_idleAt = std::max(m_idleAt, now) + timeFor(prompt);
        touch(prompt);
    }

    // Nothing runs on the engine any more, so that its backlog is empty, whatever was estimated.
    void setIdle(TimePoint now) { m_idleAt = std::min(m_idleAt, now); }

private:
    Duration computeTime(std::size_t tokens) const
    {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(static_cast<double>(tokens) / m_rate));
    }

    void touch(const PromptSize &prompt)
    {
        if (prompt.contextTokens == 0)
            return;
        const auto known = m_cacheIndex.find(prompt.prefixHash);
        if (known != m_cacheIndex.end()) {
            m_cached.splice(m_cached.begin(), m_cached, known->second);
            return;
        }
        m_cached.push_front(prompt);
        m_cacheIndex[prompt.prefixHash] = m_cached.begin();
        m_tokens += prompt.contextTokens;
        while (m_tokens > m_maxCachedTokens && !m_cached.empty()) {
            m_tokens -= m_cached.back().contextTokens;
            m_cacheIndex.erase(m_cached.back().prefixHash);
            m_cached.pop_back();
        }
    }

    double m_rate = 10'000;
    std::size_t m_maxCachedTokens = 100'000;
    std::size_t m_tokens = 0;
    std::list<PromptSize> m_cached; // most recently used first
    std::unordered_map<std::uint64_t, std::list<PromptSize>::iterator> m_cacheIndex;
    TimePoint m_idleAt{};
};

} // namespace fordwood

#endif // FORDWOOD_PREFILL_QUEUE_HPP_INCLUDED
