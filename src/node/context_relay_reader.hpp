// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CONTEXT_RELAY_READER_HPP_INCLUDED
#define FORDWOOD_NODE_CONTEXT_RELAY_READER_HPP_INCLUDED

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "fordwood/store_news_log.hpp"
#include "node/fleet_update.hpp"
#include "node/http_client.hpp"

namespace fordwood::node {

// Reads from a relay what the stores of kept context hold, a few times a second; see RelayRole.
class ContextRelayReader
{
public:
    using Publish = std::function<void(FleetUpdate)>;
    // The address of a relay, other than the one that has just failed if there is another; nothing:
    // no relay is heard.
    using ChooseRelay = std::function<std::optional<std::string>(const std::string &failed)>;

    ContextRelayReader(net::io_context &context, HttpClient &client, const Clock &clock,
                       ChooseRelay chooseRelay, Publish publish);

    // The stores of the configuration in force: a relay's word of others is passed over.
    void setStores(const std::vector<ContextStore> &stores);

    void setEnabled(bool isEnabled);

private:
    void requestNews();
    void requestNewsAfter(Duration delay);
    void handle(const HttpResult &result, TimePoint sentAt);
    void handle(StoreNews news, TimePoint sentAt);

    HttpClient &m_client;
    const Clock &m_clock;
    ChooseRelay m_chooseRelay;
    Publish m_publish;
    net::steady_timer m_timer;
    std::set<std::string> m_stores; // names
    std::map<std::string, StorePosition> m_positions; // by name of the store
    std::string m_relay; // asked last
    std::string m_failedRelay; // the relay that did not answer last
    bool m_isEnabled = false;
    bool m_isRequestPending = false;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CONTEXT_RELAY_READER_HPP_INCLUDED
