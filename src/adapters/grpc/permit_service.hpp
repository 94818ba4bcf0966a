// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_GRPC_PERMIT_SERVICE_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_GRPC_PERMIT_SERVICE_HPP_INCLUDED

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "fordwood/allowance_allocator.hpp"
#include "fordwood/control.grpc.pb.h"
#include "fordwood/key_registry.hpp"
#include "fordwood/permit_scheduler.hpp"

namespace fordwood::adapters {

// What the owner's duty hears from its entry nodes.
class PermitListener
{
public:
    virtual ~PermitListener() = default;

    // Commands from one holder. False when they cannot be taken now.
    virtual bool commandsArrived(HolderId holder, wire::PermitCommands commands) = 0;

    // A holder's connection is gone.
    virtual void holderGone(HolderId holder) = 0;
};

// The owner's side of the permit streams. Every stream is one holder.
class PermitService : public wire::Permits::CallbackService
{
public:
    explicit PermitService(PermitListener &listener);
    ~PermitService() override;

    // Sends answers to their holders; those of holders that are gone are dropped.
    void send(const std::vector<PermitAnswer> &answers);

    // Sends the answer to a claim of a key.
    void sendClaimAnswer(HolderId holder, std::uint64_t claimId, const ClaimAnswer &answer);

    // Sends a part of a team's ceiling.
    void sendAllowance(const AllowanceRequest &request, const Allowance &allowance);

    // Ends all streams, so that the server can stop.
    void closeAll();

    grpc::ServerBidiReactor<wire::PermitCommands, wire::PermitEvents> *
    Exchange(grpc::CallbackServerContext *context) override;

private:
    class Stream;

    void sendTo(HolderId holder, const wire::PermitEvents &events);
    void remove(HolderId holder);

    PermitListener &m_listener;
    std::mutex m_mutex;
    std::unordered_map<HolderId, std::shared_ptr<Stream>> m_streams;
    HolderId m_nextHolder = 1;
    bool m_closing = false;
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_GRPC_PERMIT_SERVICE_HPP_INCLUDED
