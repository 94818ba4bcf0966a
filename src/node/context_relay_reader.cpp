// SPDX-License-Identifier: MIT
#include "node/context_relay_reader.hpp"

#include "adapters/observe/event_log.hpp"
#include "fordwood/rendezvous.hpp"
#include "node/context_messages.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

// About as often as a relay itself hears of changes that come together.
constexpr Duration kAskEvery = std::chrono::milliseconds(150);

// A relay answers within milliseconds, or is in trouble; the stores' word, which holds for 1.5 s,
// leaves time to ask another.
constexpr Duration kPatience = std::chrono::milliseconds(400);

} // namespace

ContextRelayReader::ContextRelayReader(net::io_context &context, HttpCaller &caller,
                                       const Clock &clock, Source source, Tell tell)
    : m_caller(caller), m_clock(clock), m_source(std::move(source)), m_tell(std::move(tell)),
      m_timer(context)
{ }

void ContextRelayReader::setStores(const std::vector<ContextStore> &stores)
{
    m_stores.clear();
    for (const ContextStore &it : stores)
        m_stores.insert(it.name);
    std::erase_if(m_positions, [this](const auto &it) { return !m_stores.contains(it.first); });
}

void ContextRelayReader::setReading(bool reads)
{
    if (reads == m_reads)
        return;
    m_reads = reads;
    m_positions.clear(); // this node followed the stores itself meanwhile
    if (m_reads && !m_isAsking)
        ask();
}

void ContextRelayReader::askLater(Duration pause)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([this](const ErrorCode &ec) {
        if (!ec && !m_isAsking)
            ask();
    });
}

void ContextRelayReader::ask()
{
    if (!m_reads)
        return;
    const auto relay = m_source(m_failed);
    if (!relay) {
        askLater(kAskEvery);
        return;
    }
    m_relay = *relay;
    std::vector<ContextStorePosition> positions;
    for (const auto &[name, position] : m_positions)
        positions.push_back(position);
    HttpCall call;
    call.address = m_relay;
    call.method = "GET";
    call.target = contextNewsTarget(positions);
    m_isAsking = true;
    m_caller.send(call, kPatience, [this, asked = m_clock.now()](const HttpResult &result) {
        m_isAsking = false;
        if (!m_reads)
            return;
        take(result, asked);
        askLater(kAskEvery);
    });
}

void ContextRelayReader::take(const HttpResult &result, TimePoint asked)
{
    constexpr unsigned kOk = 200;
    auto news = result && result->status == kOk ? decodeContextNews(result->body) : std::nullopt;
    if (!news) {
        logEvent(Event::ContextRelayFailed,
                 {{"relay", m_relay}, {"status", result ? result->status : 0}});
        m_failed = m_relay;
        return;
    }
    m_failed.clear();
    for (StoreNews &it : *news) {
        if (m_stores.contains(it.store))
            take(std::move(it), asked);
    }
}

void ContextRelayReader::take(StoreNews news, TimePoint asked)
{
    // As old as it was for the relay, and on its way since, at the most.
    const TimePoint now = m_clock.now();
    news.age += std::chrono::duration_cast<std::chrono::milliseconds>(now - asked);
    m_positions[news.store] = {stableHash(news.store), news.epoch, news.next};
    m_tell(ContextStoreTold{std::move(news), now});
}

} // namespace fordwood::node
