// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CONTEXT_KEEPING_HPP_INCLUDED
#define FORDWOOD_NODE_CONTEXT_KEEPING_HPP_INCLUDED

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/context_store_log.hpp"
#include "fordwood/fenced_lock.hpp"
#include "fordwood/old_context_cleaner.hpp"
#include "node/context_relay_reader.hpp"
#include "node/context_watch.hpp"
#include "node/fleet_update.hpp"
#include "node/http_caller.hpp"

namespace fordwood::node {

// What a node has to do with the stores of kept context beside its requests: it follows what they
// hold, and while it holds the lock it has context of old weights freed.
class ContextKeeping
{
public:
    using Tell = std::function<void(FleetUpdate)>;

    ContextKeeping(net::io_context &context, HttpCaller &caller, const Clock &clock,
                   ContextRelayReader::Source source, Tell tell);

    // The stores of the configuration in force.
    void setStores(const std::vector<ContextStore> &stores);

    // Whether this node asks the stores itself; else it asks the relay that `source` names.
    void setFollowing(bool follows);

    // What a peer lacks that stands at these positions.
    std::vector<StoreNews> newsSince(const std::vector<ContextStorePosition> &positions) const
    {
        return m_log.updatesSince(positions);
    }

    void setWeights(const std::string &model, const WeightHistory &history)
    {
        m_keeper.setWeights(model, history);
    }

    void tick(const std::optional<FencedLock::Holding> &holding);

private:
    void take(FleetUpdate update);
    void free(const FreePartsCall &action, const FencedLock::Holding &holding);

    HttpCaller &m_caller;
    const Clock &m_clock;
    Tell m_tell;
    ContextWatch m_watch;
    ContextRelayReader m_relayReader;
    ContextStoreLog m_log; // for peers, while this node follows the stores
    OldContextCleaner m_keeper;
    std::map<std::string, ContextStore> m_stores; // by name
    std::chrono::milliseconds m_engineClock{0}; // as told last
    TimePoint m_engineClockTold{};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CONTEXT_KEEPING_HPP_INCLUDED
