// SPDX-License-Identifier: MIT
#include "fordwood/key_claims.hpp"

#include <utility>

namespace fordwood {

namespace {

constexpr int kMaxRedirections = 2; // one change of holders, and another in progress

} // namespace

KeyClaims::KeyClaims(const Clock &clock, Duration holderTimeout, std::vector<Action> &actions)
    : m_clock(clock), m_holderTimeout(holderTimeout), m_actions(actions)
{ }

void KeyClaims::open(CallId call, const IdempotencyKey &key, const Member &holder)
{
    Claim &claim = m_claims[call];
    claim.key = key;
    claim.holder = holder.name;
    claim.pendingId = m_nextId++;
    claim.until = m_clock.now() + m_holderTimeout;
    m_pending.emplace(claim.pendingId, call);
    m_actions.emplace_back(ClaimKey{claim.pendingId, holder.name, holder.controlAddress, key});
}

std::optional<CallId> KeyClaims::onAnswer(std::uint64_t claimId)
{
    const auto open = m_pending.find(claimId);
    if (open == m_pending.end())
        return std::nullopt;
    const CallId call = open->second;
    m_pending.erase(open);
    m_claims.at(call).pendingId = 0;
    return call;
}

void KeyClaims::grant(CallId call)
{
    m_claims.at(call).granted = true;
}

bool KeyClaims::isGranted(CallId call) const
{
    const auto it = m_claims.find(call);
    return it != m_claims.end() && it->second.granted;
}

bool KeyClaims::mayRedirect(CallId call)
{
    return ++m_claims.at(call).redirections <= kMaxRedirections;
}

bool KeyClaims::isOverdue(CallId call) const
{
    const auto it = m_claims.find(call);
    return it != m_claims.end() && it->second.pendingId != 0 && it->second.until <= m_clock.now();
}

std::vector<CallId> KeyClaims::openAt(const std::string &holder) const
{
    std::vector<CallId> calls;
    for (const auto &[call, claim] : m_claims) {
        if (claim.pendingId != 0 && claim.holder == holder)
            calls.push_back(call);
    }
    return calls;
}

void KeyClaims::finish(CallId call, RunState state, StoredAnswer answer)
{
    const auto it = m_claims.find(call);
    if (it == m_claims.end())
        return;
    const Claim &claim = it->second;
    if (claim.granted)
        m_actions.emplace_back(FinishClaim{claim.holder, claim.key, state, std::move(answer)});
    else if (claim.pendingId != 0)
        m_actions.emplace_back(FinishClaim{claim.holder, claim.key, RunState::NotRun, {}});
    forget(call);
}

void KeyClaims::forget(CallId call)
{
    const auto it = m_claims.find(call);
    if (it == m_claims.end())
        return;
    m_pending.erase(it->second.pendingId);
    m_claims.erase(it);
}

} // namespace fordwood
