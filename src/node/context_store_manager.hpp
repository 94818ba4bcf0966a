// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CONTEXT_STORE_MANAGER_HPP_INCLUDED
#define FORDWOOD_NODE_CONTEXT_STORE_MANAGER_HPP_INCLUDED

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
#include "node/context_store_watcher.hpp"
#include "node/fleet_update.hpp"
#include "node/http_client.hpp"

namespace fordwood::node {

// Manages a node's view of the context stores: follows their contents, either directly or through a
// relay, and frees the context of old weights while the node holds the lock for that.
class ContextStoreManager
{
public:
    using Publish = std::function<void(FleetUpdate)>;

    ContextStoreManager(net::io_context &context, HttpClient &client, const Clock &clock,
                        ContextRelayReader::ChooseRelay chooseRelay, Publish publish);

    // Sets the stores of the current configuration.
    void setStores(const std::vector<ContextStore> &stores);

    // Whether this node reads the stores directly, or else through the relay that `chooseRelay`
    // names.
    void setReadsStores(bool readsStores);

    // The changes that a peer at these positions has not received yet.
    std::vector<ContextStoreUpdate>
    updatesSince(const std::vector<ContextStorePosition> &positions) const
    {
        return m_log.updatesSince(positions);
    }

    void setWeights(const std::string &model, const WeightHistory &history)
    {
        m_cleaner.setWeights(model, history);
    }

    void tick(const std::optional<FencedLock::Holding> &holding);

private:
    void handle(FleetUpdate update);
    void sendFree(const FreePartsCall &action, const FencedLock::Holding &holding);

    HttpClient &m_client;
    const Clock &m_clock;
    Publish m_publish;
    ContextStoreWatcher m_watcher;
    ContextRelayReader m_relayReader;
    ContextStoreLog m_log; // for peers, while this node reads the stores
    OldContextCleaner m_cleaner;
    std::map<std::string, ContextStore> m_stores; // by name
    std::chrono::milliseconds m_engineClock{0}; // last reported value
    TimePoint m_engineClockReadAt{};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CONTEXT_STORE_MANAGER_HPP_INCLUDED
