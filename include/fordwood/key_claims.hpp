// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_KEY_CLAIMS_HPP_INCLUDED
#define FORDWOOD_KEY_CLAIMS_HPP_INCLUDED

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fordwood/call.hpp"
#include "fordwood/clock.hpp"
#include "fordwood/member.hpp"

namespace fordwood {

// The idempotency keys of the calls on one entry node: a call with a key may run once the holder of
// the key has granted the claim, and the holder hears how it ended. No I/O and no threads.
class KeyClaims
{
public:
    // `holderTimeout`: how long a holder may take to answer. Actions are added to `actions`.
    KeyClaims(const Clock &clock, Duration holderTimeout, std::vector<Action> &actions);

    // Asks a member whether the key of the call may run.
    void open(CallId call, const IdempotencyKey &key, const Member &holder);

    // The call that an answer is for, whose claim is then no longer open. Empty when the claim was
    // dropped since; the holder knows.
    std::optional<CallId> onAnswer(std::uint64_t claimId);

    // The holder has let the call run.
    void grant(CallId call);
    bool isGranted(CallId call) const;

    // Another member holds the key: whether the call may ask that one. Counted, so that two members
    // that name each other are not asked for ever.
    bool mayRedirect(CallId call);

    // Whether the holder has left the call's open claim unanswered for too long.
    bool isOverdue(CallId call) const;

    // Calls with an open claim at a holder.
    std::vector<CallId> openAt(const std::string &holder) const;

    // The call has ended, and the holder of its key is told how. A claim that is still open is
    // given up: should the holder have granted it, the key is free again.
    void finish(CallId call, RunState state, StoredAnswer answer);

    // The call has ended in a way that the holder knows of.
    void forget(CallId call);

private:
    struct Claim
    {
        IdempotencyKey key;
        std::string holder;
        std::uint64_t pendingId = 0; // zero: answered
        TimePoint until{}; // of the open claim
        int redirections = 0;
        bool granted = false;
    };

    const Clock &m_clock;
    const Duration m_holderTimeout;
    std::vector<Action> &m_actions;
    std::map<CallId, Claim> m_claims;
    std::unordered_map<std::uint64_t, CallId> m_pending; // by claim id
    std::uint64_t m_nextId = 1;
};

} // namespace fordwood

#endif // FORDWOOD_KEY_CLAIMS_HPP_INCLUDED
