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

// Receives the commands of the entry nodes. Called from gRPC's threads.
class PermitListener
{
public:
    virtual ~PermitListener() = default;

    // A holder sent commands. Returns false if they cannot be accepted now.
    virtual bool commandsArrived(HolderId holder, wire::PermitCommands commands) = 0;

    // A holder's stream has ended.
    virtual void holderGone(HolderId holder) = 0;
};

// The owner's side of the permit streams. Each stream belongs to one holder.
class PermitService : public wire::Permits::CallbackService
{
public:
    explicit PermitService(PermitListener &listener);
    ~PermitService() override;

    // Sends answers to their holders. Answers to disconnected holders are dropped.
    void send(const std::vector<PermitAnswer> &answers);

    // Sends the answer to a holder's claim of a key.
    void sendClaimAnswer(HolderId holder, std::uint64_t claimId, const ClaimAnswer &answer);

    // Answers a request for a share of a team's ceiling.
    void sendAllowance(const AllowanceRequest &request, const Allowance &allowance);

    // Finishes all streams so that the server can shut down.
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
    bool m_isClosing = false;
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_GRPC_PERMIT_SERVICE_HPP_INCLUDED
