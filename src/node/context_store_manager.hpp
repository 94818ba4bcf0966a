// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CONTEXT_STORE_MANAGER_HPP_INCLUDED
#define FORDWOOD_NODE_CONTEXT_STORE_MANAGER_HPP_INCLUDED

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/fenced_lock.hpp"
#include "fordwood/store_keeper.hpp"
#include "fordwood/store_news_log.hpp"
#include "node/context_relay_reader.hpp"
#include "node/context_store_watcher.hpp"
#include "node/fleet_update.hpp"
#include "node/http_client.hpp"

namespace fordwood::node {

// What a node has to do with the stores of kept context beside its requests: it follows what they
// hold, and while it holds the lock it has context of old weights freed.
class ContextStoreManager
{
public:
    using Publish = std::function<void(FleetUpdate)>;

    ContextStoreManager(net::io_context &context, HttpClient &client, const Clock &clock,
                        ContextRelayReader::ChooseRelay chooseRelay, Publish publish);

    // The stores of the configuration in force.
    void setStores(const std::vector<ContextStore> &stores);

    // Whether this node asks the stores itself; else it asks the relay that `source` names.
    void setReadsStores(bool readsStores);

    // What a peer lacks that stands at these positions.
    std::vector<StoreNews> newsSince(const std::vector<StorePosition> &positions) const
    {
        return m_log.since(positions);
    }

    void setWeights(const std::string &model, const WeightHistory &history)
    {
        m_keeper.setWeights(model, history);
    }

    void tick(const std::optional<FencedLock::Holding> &holding);

private:
    void handle(FleetUpdate update);
    void sendFree(const FreeParts &action, const FencedLock::Holding &holding);

    HttpClient &m_client;
    const Clock &m_clock;
    Publish m_publish;
    ContextStoreWatcher m_watcher;
    ContextRelayReader m_relayReader;
    StoreNewsLog m_log; // for peers, while this node follows the stores
    StoreKeeper m_keeper;
    std::map<std::string, ContextStore> m_stores; // by name
    std::chrono::milliseconds m_engineClock{0}; // as told last
    TimePoint m_engineClockReadAt{};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CONTEXT_STORE_MANAGER_HPP_INCLUDED
