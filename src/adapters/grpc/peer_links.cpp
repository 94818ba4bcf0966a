// SPDX-License-Identifier: MIT
#include "adapters/grpc/peer_links.hpp"

#include <algorithm>
#include <utility>

#include <grpcpp/create_channel.h>

#include "adapters/grpc/peer_codec.hpp"
#include "adapters/grpc/stream_writer.hpp"

namespace fordwood::adapters {

namespace {

constexpr int kMinReconnectBackoffMs = 200;
constexpr int kMaxReconnectBackoffMs = 2000;

std::shared_ptr<grpc::Channel> openChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
    arguments.SetMaxReceiveMessageSize(-1);
    // Otherwise channels to the same address would share a connection, even one that another object
    // has abandoned.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

// Updates are queued one by one, since merging two of them would mix their fields.
using PeerWriter = StreamWriter<wire::PeerMessage, QueuedMessages>;

// A stream opened by a peer.
class PeerLinks::IncomingStream
    : public grpc::ServerBidiReactor<wire::PeerMessage, wire::PeerMessage>,
      public PeerStream
{
public:
    explicit IncomingStream(PeerLinks &links)
        : m_links(links), m_writer([this](const wire::PeerMessage *it) { StartWrite(it); })
    { }

    void start(const std::shared_ptr<IncomingStream> &self)
    {
        m_self = self;
        send(m_links.hello());
        StartRead(&m_incoming);
    }

    void send(const wire::PeerMessage &message) override { m_writer.send(message); }

    void close() override
    {
        m_writer.close([this] { Finish(grpc::Status::OK); });
    }

    void OnReadDone(bool ok) override
    {
        if (!ok)
            return close();
        m_links.onMessage(m_self, m_peer, m_incoming);
        StartRead(&m_incoming);
    }

    void OnWriteDone(bool ok) override
    {
        if (!ok)
            return close();
        m_writer.onWritten();
    }

    void OnCancel() override { close(); }

    void OnDone() override
    {
        m_links.onStreamEnd(this, m_peer);
        const auto self = std::move(m_self);
    }

private:
    PeerLinks &m_links;
    std::string m_peer; // set by the first message
    std::shared_ptr<PeerStream> m_self;
    wire::PeerMessage m_incoming;
    PeerWriter m_writer;
};

// A stream opened by this node.
class PeerLinks::OutgoingStream
    : public grpc::ClientBidiReactor<wire::PeerMessage, wire::PeerMessage>,
      public PeerStream
{
public:
    explicit OutgoingStream(PeerLinks &links)
        : m_links(links), m_writer([this](const wire::PeerMessage *it) { StartWrite(it); })
    { }

    void start(const std::shared_ptr<OutgoingStream> &self,
               const std::shared_ptr<grpc::Channel> &channel)
    {
        m_self = self;
        m_stub = wire::Peers::NewStub(channel);
        m_stub->async()->Link(&m_context, this);
        AddHold(); // writes come from the control thread, outside gRPC's callbacks
        StartRead(&m_incoming);
        StartCall();
        send(m_links.hello());
    }

    void send(const wire::PeerMessage &message) override { m_writer.send(message); }

    void close() override
    {
        m_context.TryCancel();
        endWrites();
    }

    void OnReadDone(bool ok) override
    {
        if (!ok)
            return endWrites();
        m_links.onMessage(m_self, m_peer, m_incoming);
        StartRead(&m_incoming);
    }

    void OnWriteDone(bool ok) override
    {
        if (!ok)
            return endWrites();
        m_writer.onWritten();
    }

    void OnDone(const grpc::Status &) override
    {
        const auto self = std::move(m_self);
        m_links.onStreamEnd(this, m_peer);
    }

private:
    void endWrites()
    {
        m_writer.close([this] { RemoveHold(); });
    }

    PeerLinks &m_links;
    std::string m_peer; // set by the first message
    std::shared_ptr<PeerStream> m_self;
    std::unique_ptr<wire::Peers::Stub> m_stub;
    grpc::ClientContext m_context;
    wire::PeerMessage m_incoming;
    PeerWriter m_writer;
};

PeerLinks::PeerLinks(std::string self, PeerListener &listener)
    : m_self(std::move(self)), m_listener(listener)
{ }

PeerLinks::~PeerLinks() = default;

void PeerLinks::setOutgoing(const std::vector<std::string> &addresses)
{
    std::vector<std::shared_ptr<OutgoingStream>> unwanted;
    {
        const std::lock_guard lock(m_mutex);
        for (auto it = m_outgoingLinks.begin(); it != m_outgoingLinks.end();) {
            const bool isWanted
                = std::find(addresses.begin(), addresses.end(), it->first) != addresses.end();
            if (!isWanted && it->second.stream)
                unwanted.push_back(it->second.stream);
            it = isWanted ? std::next(it) : m_outgoingLinks.erase(it);
        }
        for (const std::string &it : addresses)
            m_outgoingLinks.try_emplace(it, OutgoingLink{openChannel(it), nullptr});
    }
    for (const auto &it : unwanted)
        it->close();
    reopenBroken();
}

void PeerLinks::reopenBroken()
{
    std::vector<std::pair<std::shared_ptr<OutgoingStream>, std::shared_ptr<grpc::Channel>>> opened;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosing)
            return;
        for (auto &[address, link] : m_outgoingLinks) {
            if (link.stream)
                continue;
            link.stream = std::make_shared<OutgoingStream>(*this);
            ++m_openOutgoing;
            opened.emplace_back(link.stream, link.channel);
        }
    }
    for (const auto &[stream, channel] : opened)
        stream->start(stream, channel);
}

void PeerLinks::send(const std::string &peer, const PeerUpdate &update)
{
    std::shared_ptr<PeerStream> stream;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_streams.find(peer);
        if (it != m_streams.end() && !it->second.empty())
            stream = it->second.back();
    }
    if (!stream)
        return;
    const wire::PeerMessage message = toWire(update);
    m_bytesSent += message.ByteSizeLong();
    stream->send(message);
}

void PeerLinks::closeAll()
{
    std::vector<std::shared_ptr<PeerStream>> all;
    {
        const std::lock_guard lock(m_mutex);
        m_isClosing = true;
        all = m_incomingStreams;
        for (const auto &[address, link] : m_outgoingLinks) {
            if (link.stream)
                all.push_back(link.stream);
        }
        m_outgoingLinks.clear();
    }
    for (const auto &it : all)
        it->close();
    all.clear();
    std::unique_lock lock(m_mutex);
    m_allEnded.wait(lock, [this] { return m_openOutgoing == 0; });
}

grpc::ServerBidiReactor<wire::PeerMessage, wire::PeerMessage> *
PeerLinks::Link(grpc::CallbackServerContext *)
{
    auto stream = std::make_shared<IncomingStream>(*this);
    addIncoming(stream);
    stream->start(stream);
    return stream.get();
}

void PeerLinks::addIncoming(const std::shared_ptr<PeerStream> &stream)
{
    const std::lock_guard lock(m_mutex);
    m_incomingStreams.push_back(stream);
}

void PeerLinks::onMessage(const std::shared_ptr<PeerStream> &stream, std::string &peer,
                          const wire::PeerMessage &message)
{
    if (peer.empty()) {
        if (message.node().empty() || message.node() == m_self)
            return stream->close(); // not a peer: a seed address may be this node's own
        peer = message.node();
        bool isFirstStream = false;
        {
            const std::lock_guard lock(m_mutex);
            auto &streams = m_streams[peer];
            isFirstStream = streams.empty();
            streams.push_back(stream);
        }
        if (isFirstStream)
            m_listener.linkUp(peer);
        return;
    }
    m_listener.updateArrived(peer, fromWire(message));
}

void PeerLinks::onStreamEnd(const PeerStream *stream, const std::string &peer)
{
    bool isLastStream = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto isThisStream = [&](const auto &it) { return it.get() == stream; };
        std::erase_if(m_incomingStreams, isThisStream);
        for (auto &[address, link] : m_outgoingLinks) {
            if (link.stream && static_cast<PeerStream *>(link.stream.get()) == stream)
                link.stream = nullptr;
        }
        const auto peerStreams = m_streams.find(peer);
        if (peerStreams != m_streams.end()) {
            isLastStream = std::erase_if(peerStreams->second, isThisStream) > 0
                           && peerStreams->second.empty();
            if (isLastStream)
                m_streams.erase(peerStreams);
        }
    }
    if (isLastStream)
        m_listener.linkDown(peer);
    // Must follow the call of the listener: after this, closeAll() may return and the objects may
    // be destroyed.
    if (dynamic_cast<const OutgoingStream *>(stream) != nullptr) {
        const std::lock_guard lock(m_mutex);
        --m_openOutgoing;
        m_allEnded.notify_all();
    }
}

wire::PeerMessage PeerLinks::hello() const
{
    wire::PeerMessage message;
    message.set_node(m_self);
    return message;
}

} // namespace fordwood::adapters
