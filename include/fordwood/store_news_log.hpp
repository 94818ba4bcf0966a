// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_STORE_NEWS_LOG_HPP_INCLUDED
#define FORDWOOD_STORE_NEWS_LOG_HPP_INCLUDED

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
struct StorePosition
{
    std::uint64_t store = 0; // hash of its name
    std::uint64_t epoch = 0;
    std::uint64_t next = 0; // number of the first event that the reader lacks
};

// What a relay has heard of the stores of kept context, for nodes that do not ask them themselves.
// It keeps what each store holds, and the newest changes one by one.
class StoreNewsLog
{
public:
    struct Limits
    {
        std::size_t recentChanges = 2'000; // kept for each store; older ones are told as a whole
    };

    explicit StoreNewsLog(const Clock &clock) : StoreNewsLog(clock, Limits{}) { }
    StoreNewsLog(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    void told(const ContextStoreUpdate &news);
    void silent(const std::string &store);

    // What the reader lacks, for each store that answers this node.
    std::vector<ContextStoreUpdate> since(const std::vector<StorePosition> &positions) const;

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

    void remember(Store &store, const ContextStoreUpdate &news) const;
    ContextStoreUpdate newsFor(const std::string &name, const Store &store,
                               const StorePosition &position) const;

    const Clock &m_clock;
    const Limits m_limits;
    std::map<std::string, Store> m_stores; // by name
};

} // namespace fordwood

#endif // FORDWOOD_STORE_NEWS_LOG_HPP_INCLUDED
