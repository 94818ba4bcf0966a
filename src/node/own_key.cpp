// SPDX-License-Identifier: MIT
#include "node/own_key.hpp"

namespace fordwood::node {

namespace {

// Peers know each other by their messages within seconds, so the key may outlive its node a little;
// three renewals may fail before it goes.
constexpr Duration kLease = std::chrono::seconds(10);
constexpr Duration kKeepEvery = std::chrono::seconds(3);
constexpr Duration kRetryPause = std::chrono::milliseconds(700);

} // namespace

OwnKey::OwnKey(const Clock &clock, StoreLink &store, std::string key, std::string value)
    : m_clock(clock), m_store(store), m_key(std::move(key)), m_value(std::move(value))
{ }

void OwnKey::tick()
{
    if (m_isBusy || m_isRemoved || m_clock.now() < m_next)
        return;
    m_isBusy = true;
    m_isPut = m_isPut && isLeased();
    if (!isLeased())
        grant();
    else if (!m_isPut)
        put();
    else
        keep();
}

void OwnKey::retry()
{
    m_isBusy = false;
    m_next = m_clock.now() + kRetryPause;
}

void OwnKey::grant()
{
    m_store.send(platform::grantCall(kLease), [this](const HttpResult &result) {
        const auto granted = platform::readGrant(result);
        if (!granted) {
            retry();
            return;
        }
        m_isBusy = false;
        m_lease = granted->lease;
        tick();
    });
}

void OwnKey::put()
{
    // Whether the key was written before does not matter: only this node writes it.
    m_store.send(platform::putCall(m_key, m_value, m_lease.id, false),
                 [this](const HttpResult &result) {
                     const auto answer = platform::readPut(result);
                     m_isPut = answer.result == WriteResult::Done;
                     if (answer.result == WriteResult::LeaseExpired)
                         m_lease = {};
                     retry();
                     if (m_isPut)
                         m_next = m_clock.now() + kKeepEvery;
                 });
}

void OwnKey::keep()
{
    m_store.send(platform::renewCall(m_lease.id), [this](const HttpResult &result) {
        const auto kept = platform::readRenewal(result);
        retry();
        if (!kept)
            return;
        if (*kept) {
            m_next = m_clock.now() + kKeepEvery;
            return;
        }
        m_lease = {}; // it has run out, and the key with it
        m_isPut = false;
    });
}

void OwnKey::remove()
{
    m_isRemoved = true;
    if (isLeased())
        m_store.send(platform::revokeCall(m_lease.id), [](const HttpResult &) {
            // A lease that is not ended runs out by itself.
        });
}

} // namespace fordwood::node
