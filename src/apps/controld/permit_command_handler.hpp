// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_CONTROLD_PERMIT_COMMAND_HANDLER_HPP_INCLUDED
#define FORDWOOD_APPS_CONTROLD_PERMIT_COMMAND_HANDLER_HPP_INCLUDED

#include "adapters/grpc/permit_service.hpp"
#include "adapters/observe/metrics.hpp"
#include "fordwood/allowance_allocator.hpp"
#include "fordwood/key_registry.hpp"
#include "fordwood/permit_scheduler.hpp"

namespace fordwood::apps {

// Carries out the commands of the entry nodes against the three books of an owner (permits, parts
// of ceilings, keys), and sends the answers. Of the control thread alone.
class PermitCommandHandler
{
public:
    PermitCommandHandler(PermitScheduler &permits, AllowanceAllocator &allowances,
                         KeyRegistry &keys, adapters::PermitService &service,
                         adapters::Metrics &metrics)
        : m_permits(permits), m_allowances(allowances), m_keys(keys), m_service(service),
          m_metrics(metrics)
    { }

    // Commands are taken in the order that frees places first.
    void execute(HolderId holder, const wire::PermitCommands &commands);

    // The connection of an entry node is gone, and with it all that it held.
    void dropHolder(HolderId holder);

    // Sends the permits that have been decided since.
    void sendPermits();

private:
    void release(HolderId holder, const wire::Release &command);
    void requestPermit(HolderId holder, const wire::Ask &command);
    void requestAllowance(HolderId holder, const wire::AllowanceAsk &command);
    void claimKey(HolderId holder, const wire::Claim &command);

    PermitScheduler &m_permits;
    AllowanceAllocator &m_allowances;
    KeyRegistry &m_keys;
    adapters::PermitService &m_service;
    adapters::Metrics &m_metrics;
};

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CONTROLD_PERMIT_COMMAND_HANDLER_HPP_INCLUDED
