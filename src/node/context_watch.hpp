// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CONTEXT_WATCH_HPP_INCLUDED
#define FORDWOOD_NODE_CONTEXT_WATCH_HPP_INCLUDED

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "node/fleet_update.hpp"
#include "node/http_caller.hpp"
#include "platform/engine_calls.hpp"

namespace fordwood::node {

// Follows what the stores of kept context hold, by their events. One waiting call for each store.
class ContextWatch
{
public:
    using Tell = std::function<void(FleetUpdate)>;

    ContextWatch(net::io_context &context, HttpCaller &caller, const Clock &clock, Tell tell)
        : m_context(context), m_caller(caller), m_clock(clock), m_tell(std::move(tell))
    { }

    // The stores of the configuration in force.
    void setStores(const std::vector<ContextStore> &stores);

    // Whether this node asks the stores at all; if not, it reads what relays tell.
    void setFollowing(bool follows);

private:
    struct Followed
    {
        explicit Followed(net::io_context &context) : timer(context) { }

        ContextStore config;
        platform::EventCursor cursor;
        bool answers = false;
        TimePoint asked{}; // when the call under way was sent
        net::steady_timer timer;
    };

    void follow();
    void poll(const std::shared_ptr<Followed> &store, std::chrono::milliseconds wait);
    bool isReadLate(const Followed &store) const;
    void takeEvents(const std::shared_ptr<Followed> &store, const HttpResult &result);
    void readList(const std::shared_ptr<Followed> &store);
    void takeList(const std::shared_ptr<Followed> &store, const HttpResult &result);
    void tell(const std::shared_ptr<Followed> &store, const platform::StoreEvents &events);
    void silent(const std::shared_ptr<Followed> &store);
    void pollAfter(const std::shared_ptr<Followed> &store, Duration pause);
    bool isFollowed(const std::shared_ptr<Followed> &store) const;

    net::io_context &m_context;
    HttpCaller &m_caller;
    const Clock &m_clock;
    Tell m_tell;
    std::vector<ContextStore> m_known; // of the configuration in force
    std::map<std::string, std::shared_ptr<Followed>> m_stores; // by name; empty: not following
    bool m_follows = true;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CONTEXT_WATCH_HPP_INCLUDED
