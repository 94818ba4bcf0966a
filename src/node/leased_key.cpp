// SPDX-License-Identifier: MIT
#include "node/leased_key.hpp"

#include <utility>

namespace fordwood::node {

LeasedKey::LeasedKey(const Clock &clock, StoreClient &store, std::string key, Limits limits)
    : m_clock(clock), m_store(store), m_key(std::move(key)), m_limits(limits)
{ }

void LeasedKey::setValue(std::optional<std::string> value)
{
    if (value == m_value)
        return;
    m_value = std::move(value);
    m_nextAttempt = {};
    if (m_value)
        return;
    if (isLeased())
        m_store.send(platform::revokeCall(m_lease.id), [](const HttpResult &) {
            // A lease that could not be revoked expires by itself.
        });
    m_lease = {};
    m_written.reset();
}

void LeasedKey::tick()
{
    if (m_isPending || !m_value || m_clock.now() < m_nextAttempt)
        return;
    m_isPending = true;
    if (!isLeased()) {
        m_written.reset();
        grantLease();
    } else if (m_written != m_value) {
        putKey();
    } else {
        renewLease();
    }
}

void LeasedKey::tryAgainIn(Duration pause)
{
    m_isPending = false;
    m_nextAttempt = m_clock.now() + pause;
}

void LeasedKey::grantLease()
{
    m_store.send(platform::grantCall(m_limits.ttl), [this](const HttpResult &result) {
        const auto granted = platform::readGrant(result);
        if (!granted) {
            tryAgainIn(m_limits.retryPause);
            return;
        }
        m_isPending = false;
        m_lease = granted->lease;
        tick();
    });
}

void LeasedKey::putKey()
{
    // The write needs no condition: only this node writes the key.
    m_store.send(platform::putCall(m_key, *m_value, m_lease.id, false),
                 [this, lease = m_lease.id, value = *m_value](const HttpResult &result) {
                     tryAgainIn(m_limits.retryPause);
                     if (lease != m_lease.id) // revoked since
                         return;
                     const auto answer = platform::readPut(result);
                     if (answer.result == WriteResult::LeaseExpired)
                         m_lease = {};
                     if (answer.result != WriteResult::Done)
                         return;
                     m_written = value;
                     m_nextAttempt
                         = m_clock.now()
                           + (m_written == m_value ? m_limits.renewInterval : Duration::zero());
                 });
}

void LeasedKey::renewLease()
{
    m_store.send(platform::renewCall(m_lease.id),
                 [this, lease = m_lease.id](const HttpResult &result) {
                     const auto renewed = platform::readRenewal(result);
                     tryAgainIn(m_limits.retryPause);
                     if (!renewed || lease != m_lease.id)
                         return;
                     if (*renewed) {
                         m_nextAttempt = m_clock.now() + m_limits.renewInterval;
                         return;
                     }
                     m_lease = {}; // it has expired, and the key with it
                     m_written.reset();
                 });
}

} // namespace fordwood::node
