// SPDX-License-Identifier: MIT
#include "node/context_relay_reader.hpp"

#include "adapters/observe/event_log.hpp"
#include "fordwood/rendezvous.hpp"
#include "node/context_messages.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

// About the interval at which a relay itself reads batches of changes.
constexpr Duration kRequestInterval = std::chrono::milliseconds(150);

// A working relay answers within milliseconds. Updates from the stores are valid for 1.5 s, which
// leaves time to ask another relay.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(400);

} // namespace

ContextRelayReader::ContextRelayReader(net::io_context &context, HttpClient &client,
                                       const Clock &clock, ChooseRelay chooseRelay, Publish publish)
    : m_client(client), m_clock(clock), m_chooseRelay(std::move(chooseRelay)),
      m_publish(std::move(publish)), m_timer(context)
{ }

void ContextRelayReader::setStores(const std::vector<ContextStore> &stores)
{
    m_stores.clear();
    for (const ContextStore &it : stores)
        m_stores.insert(it.name);
    std::erase_if(m_positions, [this](const auto &it) { return !m_stores.contains(it.first); });
}

void ContextRelayReader::setEnabled(bool isEnabled)
{
    if (isEnabled == m_isEnabled)
        return;
    m_isEnabled = isEnabled;
    m_positions.clear(); // outdated: in between this node has read the stores directly
    if (m_isEnabled && !m_isRequestPending)
        requestUpdates();
}

void ContextRelayReader::requestUpdatesAfter(Duration delay)
{
    m_timer.start(delay, [this] {
        if (!m_isRequestPending)
            requestUpdates();
    });
}

void ContextRelayReader::requestUpdates()
{
    if (!m_isEnabled)
        return;
    const auto relay = m_chooseRelay(m_failedRelay);
    if (!relay) {
        requestUpdatesAfter(kRequestInterval);
        return;
    }
    m_relay = *relay;
    std::vector<ContextStorePosition> positions;
    for (const auto &[name, position] : m_positions)
        positions.push_back(position);
    HttpCall call;
    call.address = m_relay;
    call.method = "GET";
    call.target = contextUpdatesTarget(positions);
    m_isRequestPending = true;
    m_client.send(call, kRequestTimeout, [this, sentAt = m_clock.now()](const HttpResult &result) {
        m_isRequestPending = false;
        if (!m_isEnabled)
            return;
        handle(result, sentAt);
        requestUpdatesAfter(kRequestInterval);
    });
}

void ContextRelayReader::handle(const HttpResult &result, TimePoint sentAt)
{
    constexpr unsigned kOk = 200;
    auto updates
        = result && result->status == kOk ? decodeContextUpdates(result->body) : std::nullopt;
    if (!updates) {
        logEvent(Event::ContextRelayFailed,
                 {{"relay", m_relay}, {"status", result ? result->status : 0}});
        m_failedRelay = m_relay;
        return;
    }
    m_failedRelay.clear();
    for (ContextStoreUpdate &it : *updates) {
        if (m_stores.contains(it.store))
            handle(std::move(it), sentAt);
    }
}

void ContextRelayReader::handle(ContextStoreUpdate update, TimePoint sentAt)
{
    // An upper bound: the age at the relay plus the whole duration of the request.
    const TimePoint now = m_clock.now();
    update.age += std::chrono::duration_cast<std::chrono::milliseconds>(now - sentAt);
    m_positions[update.store] = {stableHash(update.store), update.epoch, update.next};
    m_publish(ContextStoreUpdated{std::move(update), now});
}

} // namespace fordwood::node
