// SPDX-License-Identifier: MIT
#include "node/node_registration.hpp"

namespace fordwood::node {

namespace {

// Peers notice within seconds from missing messages that a node is gone, so its key may stay a
// little longer. Three renewals may fail before the key expires.
constexpr Duration kLeaseTtl = std::chrono::seconds(10);
constexpr Duration kRenewInterval = std::chrono::seconds(3);
constexpr Duration kRetryPause = std::chrono::milliseconds(700);

} // namespace

NodeRegistration::NodeRegistration(const Clock &clock, StoreClient &store, std::string key,
                                   std::string value)
    : m_clock(clock), m_store(store), m_key(std::move(key)), m_value(std::move(value))
{ }

void NodeRegistration::tick()
{
    if (m_isPending || m_isRemoved || m_clock.now() < m_nextAttempt)
        return;
    m_isPending = true;
    m_isWritten = m_isWritten && isLeased();
    if (!isLeased())
        grantLease();
    else if (!m_isWritten)
        putKey();
    else
        renewLease();
}

void NodeRegistration::retryLater()
{
    m_isPending = false;
    m_nextAttempt = m_clock.now() + kRetryPause;
}

void NodeRegistration::grantLease()
{
    m_store.send(platform::grantCall(kLeaseTtl), [this](const HttpResult &result) {
        const auto granted = platform::readGrant(result);
        if (!granted) {
            retryLater();
            return;
        }
        m_isPending = false;
        m_lease = granted->lease;
        tick();
    });
}

void NodeRegistration::putKey()
{
    // The write needs no condition: only this node writes the key.
    m_store.send(platform::putCall(m_key, m_value, m_lease.id, false),
                 [this](const HttpResult &result) {
                     const auto answer = platform::readPut(result);
                     m_isWritten = answer.result == WriteResult::Done;
                     if (answer.result == WriteResult::LeaseExpired)
                         m_lease = {};
                     retryLater();
                     if (m_isWritten)
                         m_nextAttempt = m_clock.now() + kRenewInterval;
                 });
}

void NodeRegistration::renewLease()
{
    m_store.send(platform::renewCall(m_lease.id), [this](const HttpResult &result) {
        const auto renewed = platform::readRenewal(result);
        retryLater();
        if (!renewed)
            return;
        if (*renewed) {
            m_nextAttempt = m_clock.now() + kRenewInterval;
            return;
        }
        m_lease = {}; // it has expired, and the key with it
        m_isWritten = false;
    });
}

void NodeRegistration::remove()
{
    m_isRemoved = true;
    if (isLeased())
        m_store.send(platform::revokeCall(m_lease.id), [](const HttpResult &) {
            // A lease that could not be revoked expires by itself.
        });
}

} // namespace fordwood::node
