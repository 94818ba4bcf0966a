// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CONTEXT_RELAY_READER_HPP_INCLUDED
#define FORDWOOD_NODE_CONTEXT_RELAY_READER_HPP_INCLUDED

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fordwood/context_store_log.hpp"
#include "node/fleet_update.hpp"
#include "node/http_client.hpp"
#include "node/timeout_timer.hpp"

namespace fordwood::node {

// Reads changes in the context stores from a relay, a few times a second; see RelayRole.
class ContextRelayReader
{
public:
    using Publish = std::function<void(FleetUpdate)>;
    // Returns the address of a relay, if possible not the one that has just failed; nothing if no
    // relay is known.
    using ChooseRelay = std::function<std::optional<std::string>(const std::string &failed)>;

    ContextRelayReader(net::io_context &context, HttpClient &client, const Clock &clock,
                       ChooseRelay chooseRelay, Publish publish);

    // Sets the stores of the current configuration. Updates of other stores are ignored.
    void setStores(const std::vector<ContextStore> &stores);

    void setEnabled(bool isEnabled);

private:
    void requestUpdates();
    void requestUpdatesAfter(Duration delay);
    void handle(const HttpResult &result, TimePoint sentAt);
    void handle(ContextStoreUpdate update, TimePoint sentAt);

    HttpClient &m_client;
    const Clock &m_clock;
    ChooseRelay m_chooseRelay;
    Publish m_publish;
    TimeoutTimer m_timer;
    std::set<std::string> m_stores; // names
    std::map<std::string, ContextStorePosition> m_positions; // by name of the store
    std::string m_relay; // last one that was asked
    std::string m_failedRelay; // last one that did not answer; empty: none
    bool m_isEnabled = false;
    bool m_isRequestPending = false;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CONTEXT_RELAY_READER_HPP_INCLUDED
