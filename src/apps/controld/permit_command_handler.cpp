// SPDX-License-Identifier: MIT
#include "apps/controld/permit_command_handler.hpp"

#include "adapters/grpc/key_codec.hpp"

namespace fordwood::apps {

void PermitCommandHandler::execute(HolderId holder, const wire::PermitCommands &commands)
{
    for (const wire::Held &it : commands.held())
        m_permits.adoptPermit(holder, it.permit_id(), it.upstream(), it.team());
    for (const wire::Release &it : commands.releases())
        release(holder, it);
    for (const wire::Withdraw &it : commands.withdrawals())
        m_permits.withdraw(holder, it.ask_id(), it.upstream());
    for (const wire::Ask &it : commands.asks())
        requestPermit(holder, it);
    for (const wire::AllowanceAsk &it : commands.allowance_asks())
        requestAllowance(holder, it);
    for (const wire::ClaimEnd &it : commands.claim_ends())
        m_keys.finish(holder, adapters::keyOf(it), static_cast<RunState>(it.state()),
                      adapters::fromWire(it.answer()));
    for (const wire::Claim &it : commands.claims())
        claimKey(holder, it);
}

void PermitCommandHandler::dropHolder(HolderId holder)
{
    m_permits.dropHolder(holder);
    m_keys.dropClaimant(holder);
}

void PermitCommandHandler::sendPermits()
{
    m_permits.tick();
    const auto answers = m_permits.takeAnswers();
    for (const PermitAnswer &it : answers) {
        if (!it.granted)
            m_metrics.countRefusal(it.reason);
    }
    m_service.send(answers);
}

void PermitCommandHandler::release(HolderId holder, const wire::Release &command)
{
    if (command.pushed_back())
        m_permits.onPushback(holder, command.permit_id(), command.upstream());
    else
        m_permits.release(holder, command.permit_id(), command.upstream(), command.cost());
}

void PermitCommandHandler::requestPermit(HolderId holder, const wire::Ask &command)
{
    PermitRequest request;
    request.holder = holder;
    request.requestId = command.ask_id();
    request.upstream = command.upstream();
    request.team = command.team();
    request.cost = command.cost();
    request.priority = command.priority();
    request.wait = std::chrono::milliseconds(command.wait_ms());
    request.prompt = {command.prefix_hash(), command.context_tokens(), command.question_tokens()};
    m_permits.request(request);
}

void PermitCommandHandler::requestAllowance(HolderId holder, const wire::AllowanceAsk &command)
{
    const AllowanceRequest request{holder, command.ask_id(), command.team(), command.used(),
                                   command.wanted()};
    const Allowance allowance = m_allowances.allocate(request);
    if (allowance.amount < request.wanted)
        m_metrics.count("fordwood_allowances_short_total");
    m_service.sendAllowance(request, allowance);
}

void PermitCommandHandler::claimKey(HolderId holder, const wire::Claim &command)
{
    const ClaimAnswer answer = m_keys.claim(holder, adapters::keyOf(command));
    if (answer.decision == ClaimAnswer::Decision::Refuse)
        m_metrics.countRefusal(answer.reason);
    m_service.sendClaimAnswer(holder, command.claim_id(), answer);
}

} // namespace fordwood::apps
