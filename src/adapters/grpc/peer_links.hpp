// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_GRPC_PEER_LINKS_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_GRPC_PEER_LINKS_HPP_INCLUDED

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "fordwood/control.grpc.pb.h"
#include "fordwood/member.hpp"
#include "fordwood/replicator.hpp"

namespace fordwood::adapters {

// Receives the events of the peer links. Called from gRPC's threads.
class PeerListener
{
public:
    virtual ~PeerListener() = default;
    virtual void linkUp(const std::string &peer) = 0;
    virtual void linkDown(const std::string &peer) = 0;
    virtual void updateArrived(const std::string &peer, PeerUpdate update) = 0;
};

// A stream to a peer, opened by either side.
class PeerStream
{
public:
    virtual ~PeerStream() = default;
    virtual void send(const wire::PeerMessage &message) = 0;
    virtual void close() = 0;
};

// The links of one controld: accepts streams from other nodes, and opens and reopens its own.
// A peer is linked while at least one stream to it is open. Thread-safe.
class PeerLinks : public wire::Peers::CallbackService
{
public:
    PeerLinks(std::string self, PeerListener &listener);
    ~PeerLinks() override;

    // Sets the addresses to keep a stream open to. Closes the streams that this node opened to
    // other addresses.
    void setOutgoing(const std::vector<std::string> &addresses);

    // Reopens outgoing streams that were lost. Call it about once per second.
    void reopenBroken();

    void send(const std::string &peer, const PeerUpdate &update);

    // Total size of the encoded messages sent so far.
    std::uint64_t bytesSent() const { return m_bytesSent; }

    // Closes all streams and waits until gRPC has finished those that this node opened.
    void closeAll();

    grpc::ServerBidiReactor<wire::PeerMessage, wire::PeerMessage> *
    Link(grpc::CallbackServerContext *context) override;

private:
    class IncomingStream;
    class OutgoingStream;

    // Callbacks of the streams.
    void onMessage(const std::shared_ptr<PeerStream> &stream, std::string &peer,
                   const wire::PeerMessage &message);
    void onStreamEnd(const PeerStream *stream, const std::string &peer);
    wire::PeerMessage hello() const;
    void addIncoming(const std::shared_ptr<PeerStream> &stream);

    const std::string m_self;
    PeerListener &m_listener;
    std::mutex m_mutex;
    std::condition_variable m_allEnded;
    std::map<std::string, std::vector<std::shared_ptr<PeerStream>>> m_streams; // by peer
    std::vector<std::shared_ptr<PeerStream>> m_incomingStreams;
    struct OutgoingLink
    {
        std::shared_ptr<grpc::Channel> channel;
        std::shared_ptr<OutgoingStream> stream; // null while not open
    };
    std::map<std::string, OutgoingLink> m_outgoingLinks; // by address
    int m_openOutgoing = 0;
    std::atomic<std::uint64_t> m_bytesSent{0};
    bool m_isClosing = false;
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_GRPC_PEER_LINKS_HPP_INCLUDED
