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

#include "fordwood/context_store_log.hpp"
#include "node/fleet_update.hpp"
#include "node/http_caller.hpp"

namespace fordwood::node {

// Reads from a relay what the stores of kept context hold, a few times a second; see RelayRole.
class ContextRelayReader
{
public:
    using Tell = std::function<void(FleetUpdate)>;
    // The address of a relay, other than the one that has just failed if there is another; nothing:
    // no relay is heard.
    using Source = std::function<std::optional<std::string>(const std::string &failed)>;

    ContextRelayReader(net::io_context &context, HttpCaller &caller, const Clock &clock,
                       Source source, Tell tell);

    // The stores of the configuration in force: a relay's word of others is passed over.
    void setStores(const std::vector<ContextStore> &stores);

    void setReading(bool reads);

private:
    void ask();
    void askLater(Duration pause);
    void take(const HttpResult &result, TimePoint asked);
    void take(StoreNews news, TimePoint asked);

    HttpCaller &m_caller;
    const Clock &m_clock;
    Source m_source;
    Tell m_tell;
    net::steady_timer m_timer;
    std::set<std::string> m_stores; // names
    std::map<std::string, ContextStorePosition> m_positions; // by name of the store
    std::string m_relay; // asked last
    std::string m_failed; // the relay that did not answer last
    bool m_reads = false;
    bool m_isAsking = false;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CONTEXT_RELAY_READER_HPP_INCLUDED
