// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CONTEXT_STORE_WATCHER_HPP_INCLUDED
#define FORDWOOD_NODE_CONTEXT_STORE_WATCHER_HPP_INCLUDED

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "node/fleet_update.hpp"
#include "node/http_client.hpp"
#include "node/timeout_timer.hpp"
#include "platform/engine_calls.hpp"

namespace fordwood::node {

// Follows the contents of the context stores through their events, with one long poll per store.
class ContextStoreWatcher
{
public:
    using Publish = std::function<void(FleetUpdate)>;

    ContextStoreWatcher(net::io_context &context, HttpClient &client, const Clock &clock,
                        Publish publish)
        : m_context(context), m_client(client), m_clock(clock), m_publish(std::move(publish))
    { }

    // Sets the stores of the current configuration.
    void setStores(const std::vector<ContextStore> &stores);

    // Whether this node polls the stores; otherwise it reads their changes from a relay.
    void setEnabled(bool isEnabled);

private:
    struct WatchedStore
    {
        explicit WatchedStore(net::io_context &context) : timer(context) { }

        ContextStore config;
        platform::EventCursor cursor;
        bool isReachable = false;
        TimePoint sentAt{}; // when the pending call was sent
        TimeoutTimer timer;
    };

    void updateWatches();
    void poll(const std::shared_ptr<WatchedStore> &store, std::chrono::milliseconds wait);
    bool isStale(const WatchedStore &store) const;
    void handleEvents(const std::shared_ptr<WatchedStore> &store, const HttpResult &result);
    void requestList(const std::shared_ptr<WatchedStore> &store);
    void handleList(const std::shared_ptr<WatchedStore> &store, const HttpResult &result);
    void publish(const std::shared_ptr<WatchedStore> &store, const platform::StoreEvents &events);
    void reportUnreachable(const std::shared_ptr<WatchedStore> &store);
    void pollAfter(const std::shared_ptr<WatchedStore> &store, Duration delay);
    bool isWatched(const std::shared_ptr<WatchedStore> &store) const;

    net::io_context &m_context;
    HttpClient &m_client;
    const Clock &m_clock;
    Publish m_publish;
    std::vector<ContextStore> m_configuredStores; // of the configuration in force
    std::map<std::string, std::shared_ptr<WatchedStore>> m_stores; // by name; empty while disabled
    bool m_isEnabled = true;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CONTEXT_STORE_WATCHER_HPP_INCLUDED
