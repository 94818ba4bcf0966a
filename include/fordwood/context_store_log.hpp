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

// How far a reader has followed the events of a context store.
struct ContextStorePosition
{
    std::uint64_t store = 0; // hash of the store's name
    std::uint64_t epoch = 0;
    std::uint64_t next = 0; // number of the first event that the reader does not have
};

// The state of the context stores as a relay has read it, for nodes that do not poll the stores
// themselves. Keeps the content of each store and its most recent changes.
class ContextStoreLog
{
public:
    struct Limits
    {
        std::size_t recentChanges
            = 2'000; // for each store; readers that are further behind get a snapshot
    };

    explicit ContextStoreLog(const Clock &clock) : ContextStoreLog(clock, Limits{}) { }
    ContextStoreLog(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    void storeAnswered(const ContextStoreUpdate &update);
    void storeFailed(const std::string &store);

    // The changes that the reader does not have yet, for each store that answers this node.
    std::vector<ContextStoreUpdate>
    updatesSince(const std::vector<ContextStorePosition> &positions) const;

private:
    struct Batch
    {
        std::uint64_t from = 0; // number of the first event
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
        std::map<std::pair<std::string, std::string>, std::size_t>
            parts; // tokens by salt and part id
    };

    void appendRecent(Store &store, const ContextStoreUpdate &update) const;
    ContextStoreUpdate updateFor(const std::string &name, const Store &store,
                                 const ContextStorePosition &position) const;

    const Clock &m_clock;
    const Limits m_limits;
    std::map<std::string, Store> m_stores; // by name
};

} // namespace fordwood

#endif // FORDWOOD_CONTEXT_STORE_LOG_HPP_INCLUDED
