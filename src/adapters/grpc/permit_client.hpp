// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_GRPC_PERMIT_CLIENT_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_GRPC_PERMIT_CLIENT_HPP_INCLUDED

#include <map>
#include <memory>
#include <string>

#include "fordwood/call.hpp"
#include "fordwood/control.grpc.pb.h"
#include "fordwood/dispatcher.hpp"

namespace fordwood::adapters {

// Receives the answers of the owners. Called from gRPC's threads.
class PermitClientListener
{
public:
    virtual ~PermitClientListener() = default;

    // An owner answered a permit request. Returns false if the answer cannot be accepted now.
    virtual bool replyArrived(const std::string &owner, const PermitReply &reply) = 0;

    // The holder of a key answered a claim.
    virtual void claimAnswered(std::uint64_t claimId, const ClaimAnswer &answer) = 0;

    // The owner of a team answered a request for a share of the team's ceiling.
    virtual void allowanceAnswered(const std::string &team, std::uint64_t requestId,
                                   const Allowance &allowance)
        = 0;

    // The stream to an owner was lost, and with it its pending requests and its permits.
    virtual void streamLost(const std::string &owner, std::uint64_t stream) = 0;
};

// The entry node's side of the permit streams: one stream to each owner, opened when first needed.
// All calls must come from one thread; the listener is called from gRPC's threads.
class PermitClient
{
public:
    PermitClient(std::string node, PermitClientListener &listener);
    ~PermitClient();

    void requestPermit(const RequestPermit &request);
    void withdrawRequest(const WithdrawPermitRequest &withdrawal);
    void release(const ReleasePermit &release);
    void adoptPermit(const AdoptPermit &permit);
    void claim(const ClaimKey &claim);
    void finishClaim(const FinishClaim &finish);
    void requestAllowance(const RequestAllowance &request);

    // Removes a stream that was reported lost. Returns true if it was the owner's current stream.
    bool removeStream(const std::string &owner, std::uint64_t stream);

    // Closes all streams and waits until gRPC has finished them.
    void close();

private:
    class Stream;

    std::shared_ptr<Stream> streamTo(const std::string &owner, const std::string &address);
    void send(const std::string &owner, const wire::PermitCommands &commands);

    struct Channel
    {
        std::string address;
        std::shared_ptr<grpc::Channel> channel;
    };

    std::string m_node;
    PermitClientListener &m_listener;
    std::map<std::string, Channel> m_channels; // by owner
    std::map<std::string, std::shared_ptr<Stream>> m_streams; // by owner
    std::uint64_t m_nextStream = 1;
    struct OpenStreams;
    std::shared_ptr<OpenStreams> m_openStreams;
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_GRPC_PERMIT_CLIENT_HPP_INCLUDED
