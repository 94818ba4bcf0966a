// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_CONTROLD_PERMIT_COMMAND_HANDLER_HPP_INCLUDED
#define FORDWOOD_APPS_CONTROLD_PERMIT_COMMAND_HANDLER_HPP_INCLUDED

#include "adapters/grpc/permit_service.hpp"
#include "adapters/observe/metrics.hpp"
#include "fordwood/allowance_allocator.hpp"
#include "fordwood/key_registry.hpp"
#include "fordwood/permit_scheduler.hpp"

namespace fordwood::apps {

// Executes the commands of the entry nodes on an owner's permit scheduler, allowance allocator and
// key registry, and sends the answers. Used only on the control thread.
class PermitCommandHandler
{
public:
    PermitCommandHandler(PermitScheduler &permits, AllowanceAllocator &allowances,
                         KeyRegistry &keys, adapters::PermitService &service,
                         adapters::Metrics &metrics)
        : m_permits(permits), m_allowances(allowances), m_keys(keys), m_service(service),
          m_metrics(metrics)
    { }

    // Executes the commands that free slots before those that request them.
    void execute(HolderId holder, const wire::PermitCommands &commands);

    // Drops the permits and claims of an entry node whose connection was lost.
    void dropHolder(HolderId holder);

    // Sends the answers to permit requests that were decided since the last call.
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
