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

// The idempotency keys of the calls on one entry node. A call with a key may run once the holder of
// the key has granted the claim, and the outcome is reported to the holder. No I/O and no threads.
class KeyClaims
{
public:
    // `holderTimeout`: how long a holder may take to answer. Actions are appended to `actions`.
    KeyClaims(const Clock &clock, Duration holderTimeout, std::vector<Action> &actions);

    // Asks a member whether the call with this key may run.
    void open(CallId call, const IdempotencyKey &key, const Member &holder);

    // Closes the pending claim that was answered and returns its call. Empty if the claim was
    // dropped meanwhile; the holder has been notified then.
    std::optional<CallId> onAnswer(std::uint64_t claimId);

    // The holder has granted the claim.
    void grant(CallId call);
    bool isGranted(CallId call) const;

    // Whether the call may follow a redirection to another holder. Redirections are counted, so
    // that two members that redirect to each other are not asked forever.
    bool mayRedirect(CallId call);

    // Whether the call's pending claim has timed out.
    bool isOverdue(CallId call) const;

    // Calls with a pending claim at a holder.
    std::vector<CallId> openAt(const std::string &holder) const;

    // The call has ended, and its outcome is reported to the holder of its key. A pending claim is
    // given up: if the holder granted it meanwhile, the key is freed again.
    void finish(CallId call, RunState state, StoredAnswer answer);

    // Drops a claim whose outcome the holder already has.
    void forget(CallId call);

private:
    struct Claim
    {
        IdempotencyKey key;
        std::string holder;
        std::uint64_t pendingId = 0; // zero: none pending
        TimePoint until{}; // timeout of the pending claim
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
