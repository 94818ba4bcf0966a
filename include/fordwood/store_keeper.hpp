// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_STORE_KEEPER_HPP_INCLUDED
#define FORDWOOD_STORE_KEEPER_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/context_directory.hpp"
#include "fordwood/fenced_lock.hpp"

namespace fordwood {

// Spans that nodes and the keeper of the stores agree on; see StoreKeeper.
struct StoreLeases
{
    // How long a node may fetch context of some weights after the keeper last said to it that no
    // newer ones were named. Longer than it takes another node to become the keeper.
    static constexpr Duration kWord = std::chrono::seconds(4);
    // How long after its request was sent a fetch may still run; engines throw away later ones.
    static constexpr Duration kFetch = std::chrono::milliseconds(1'500);
    // How long the keeper waits before it tells of newer weights. Engines come to them one after
    // the other; without the stores, those that still have the old ones would be overloaded.
    static constexpr Duration kNotice = std::chrono::seconds(4);
    // For messages on their way.
    static constexpr Duration kMargin = std::chrono::milliseconds(500);
};

// Asks a store to free parts, unless it has restarted.
struct FreeParts
{
    std::string store;
    std::uint64_t epoch = 0;
    std::vector<std::pair<std::string, std::string>> parts; // salt and id
};

// Frees context of old weights in the stores, which drop nothing on their own. One node at a time
// does so: the holder of the lock. It tells its peers the newest weights that it knows of, several
// times a second; they fetch context of older ones no longer than StoreLeases::kWord after it last
// told them of nothing newer, and bound each fetch by StoreLeases::kFetch. So after both spans
// nobody reads the context of weights that were superseded, not even a node that was cut off.
class StoreKeeper
{
public:
    explicit StoreKeeper(const Clock &clock) : m_clock(clock) { }

    // Newer weights were named for the model.
    void weightsNamed(const std::string &model, std::uint64_t version);

    // The newest weights of the model that the keeper tells its peers of.
    std::uint64_t word(const std::string &model) const;

    void storeAnswered(const StoreNews &news);
    void storeSilent(const std::string &store);

    // What may be freed now; nothing without the lock.
    std::vector<FreeParts> tick(const std::optional<FencedLock::Holding> &holding);

    // The store has answered the call, or not.
    void freed(const FreeParts &asked, bool done);

private:
    struct Store
    {
        std::uint64_t epoch = 0;
        bool answers = false;
        bool isAsked = false; // a call is on its way
        TimePoint notBefore{}; // after a call that failed
        std::set<std::pair<std::string, std::string>> parts; // salt and id
    };
    using Named = std::map<std::uint64_t, TimePoint>; // versions, and since when they are known

    bool isGarbage(const std::string &salt, TimePoint heldSince) const;

    const Clock &m_clock;
    std::map<std::string, Store> m_stores; // by name
    std::map<std::uint64_t, Named> m_named; // by the hash of the model's name
};

} // namespace fordwood

#endif // FORDWOOD_STORE_KEEPER_HPP_INCLUDED
