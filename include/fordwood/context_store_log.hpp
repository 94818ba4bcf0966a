// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONTEXT_STORE_LOG_HPP_INCLUDED
#define FORDWOOD_CONTEXT_STORE_LOG_HPP_INCLUDED

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/context_directory.hpp"

namespace fordwood {

// How far a reader has come in what a store of kept context tells.
struct ContextStorePosition
{
    std::uint64_t store = 0; // hash of its name
    std::uint64_t epoch = 0;
    std::uint64_t next = 0; // number of the first event that the reader lacks
};

// What a relay has heard of the stores of kept context, for nodes that do not ask them themselves.
// It keeps what each store holds, and the newest changes one by one.
class ContextStoreLog
{
public:
    struct Limits
    {
        std::size_t recentChanges = 2'000; // kept for each store; older ones are told as a whole
    };

    explicit ContextStoreLog(const Clock &clock) : ContextStoreLog(clock, Limits{}) { }
    ContextStoreLog(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    void storeAnswered(const StoreNews &news);
    void storeFailed(const std::string &store);

    // What the reader lacks, for each store that answers this node.
    std::vector<StoreNews> updatesSince(const std::vector<ContextStorePosition> &positions) const;

private:
    struct Batch
    {
        std::uint64_t from = 0; // number of its first event
        std::vector<StorePartChange> changes;
    };
    struct Store
    {
        std::uint64_t epoch = 0;
        std::uint64_t next = 0;
        bool answers = false;
        TimePoint answered{};
        std::chrono::milliseconds clock{0};
        std::deque<Batch> recent;
        std::size_t recentChanges = 0;
        std::map<std::pair<std::string, std::string>, std::size_t> parts; // by salt and id
    };

    void appendRecent(Store &store, const StoreNews &news) const;
    StoreNews updateFor(const std::string &name, const Store &store,
                        const ContextStorePosition &position) const;

    const Clock &m_clock;
    const Limits m_limits;
    std::map<std::string, Store> m_stores; // by name
};

} // namespace fordwood

#endif // FORDWOOD_STORE_NEWS_LOG_HPP_INCLUDED
