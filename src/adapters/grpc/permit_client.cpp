// SPDX-License-Identifier: MIT
#include "adapters/grpc/permit_client.hpp"

#include <condition_variable>
#include <mutex>

#include <grpcpp/create_channel.h>

#include "adapters/grpc/key_codec.hpp"
#include "adapters/grpc/stream_writer.hpp"

namespace fordwood::adapters {

namespace {

constexpr int kMinReconnectBackoffMs = 100;
constexpr int kMaxReconnectBackoffMs = 1000;

PermitReply toReply(const wire::Grant &grant)
{
    PermitReply reply;
    reply.requestId = grant.ask_id();
    reply.granted = true;
    reply.permitId = grant.permit_id();
    reply.waited = std::chrono::milliseconds(grant.waited_ms());
    reply.sendWithin = std::chrono::milliseconds(grant.send_within_ms());
    return reply;
}

PermitReply toReply(const wire::Denial &denial)
{
    PermitReply reply;
    reply.requestId = denial.ask_id();
    reply.reason = info(static_cast<Reason>(denial.reason())).reason;
    reply.retryAfter = std::chrono::milliseconds(denial.retry_after_ms());
    reply.firstTokenIn = std::chrono::milliseconds(denial.first_token_in_ms());
    return reply;
}

std::shared_ptr<grpc::Channel> openChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

// Counts the streams that gRPC has not finished yet.
struct PermitClient::OpenStreams
{
    std::mutex mutex;
    std::condition_variable allEnded;
    int streams = 0;
};

// A stream to one owner. Holds a reference to itself until gRPC has finished it.
class PermitClient::Stream
    : public grpc::ClientBidiReactor<wire::PermitCommands, wire::PermitEvents>
{
public:
    Stream(std::string owner, std::uint64_t id, PermitClientListener &listener,
           std::shared_ptr<OpenStreams> openStreams)
        : m_owner(std::move(owner)), m_id(id), m_listener(listener),
          m_openStreams(std::move(openStreams)),
          m_writer([this](const wire::PermitCommands *it) { StartWrite(it); })
    { }

    std::uint64_t id() const { return m_id; }

    void start(const std::shared_ptr<Stream> &self, const std::shared_ptr<grpc::Channel> &channel)
    {
        m_self = self;
        {
            const std::lock_guard lock(m_openStreams->mutex);
            ++m_openStreams->streams;
        }
        m_stub = wire::Permits::NewStub(channel);
        m_stub->async()->Exchange(&m_context, this);
        // Writes come from the dispatch thread, outside gRPC's callbacks; the hold keeps the stream
        // open for them.
        AddHold();
        StartRead(&m_incoming);
        StartCall();
    }

    void send(const wire::PermitCommands &commands) { m_writer.send(commands); }

    void close()
    {
        m_context.TryCancel();
        endWrites();
    }

    void OnReadDone(bool ok) override
    {
        if (!ok)
            return endWrites();
        for (const wire::Grant &it : m_incoming.grants())
            handleReply(toReply(it));
        for (const wire::Denial &it : m_incoming.denials())
            handleReply(toReply(it));
        for (const wire::ClaimReply &it : m_incoming.claim_replies())
            m_listener.claimAnswered(it.claim_id(), fromWire(it));
        for (const wire::AllowanceReply &it : m_incoming.allowances())
            m_listener.allowanceAnswered(it.team(), it.ask_id(),
                                         {it.amount(), std::chrono::milliseconds(it.life_ms())});
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
        m_listener.streamLost(m_owner, m_id);
        const auto self = std::move(m_self);
        const auto openStreams = m_openStreams;
        const std::lock_guard lock(openStreams->mutex);
        --openStreams->streams;
        openStreams->allEnded.notify_all();
    }

private:
    void handleReply(const PermitReply &reply)
    {
        if (m_listener.replyArrived(m_owner, reply) || !reply.granted)
            return;
        wire::PermitCommands commands;
        commands.add_releases()->set_permit_id(reply.permitId);
        send(commands);
    }

    void endWrites()
    {
        m_writer.close([this] { RemoveHold(); });
    }

    std::string m_owner;
    std::uint64_t m_id;
    PermitClientListener &m_listener;
    std::shared_ptr<OpenStreams> m_openStreams;
    std::shared_ptr<Stream> m_self;
    std::unique_ptr<wire::Permits::Stub> m_stub;
    grpc::ClientContext m_context;
    wire::PermitEvents m_incoming;
    StreamWriter<wire::PermitCommands, MergedMessages> m_writer;
};

PermitClient::PermitClient(std::string node, PermitClientListener &listener)
    : m_node(std::move(node)), m_listener(listener), m_openStreams(std::make_shared<OpenStreams>())
{ }

PermitClient::~PermitClient()
{
    close();
}

void PermitClient::requestPermit(const RequestPermit &request)
{
    wire::PermitCommands commands;
    wire::Ask *message = commands.add_asks();
    message->set_ask_id(request.requestId);
    message->set_upstream(request.upstream);
    message->set_team(request.team);
    message->set_cost(request.cost);
    message->set_priority(request.priority);
    message->set_wait_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(request.wait).count()));
    message->set_prefix_hash(request.prompt.prefixHash);
    message->set_context_tokens(static_cast<std::uint32_t>(request.prompt.contextTokens));
    message->set_question_tokens(static_cast<std::uint32_t>(request.prompt.questionTokens));
    streamTo(request.owner, request.ownerAddress)->send(commands);
}

void PermitClient::withdrawRequest(const WithdrawPermitRequest &withdrawal)
{
    wire::PermitCommands commands;
    wire::Withdraw *message = commands.add_withdrawals();
    message->set_ask_id(withdrawal.requestId);
    message->set_upstream(withdrawal.upstream);
    send(withdrawal.owner, commands);
}

void PermitClient::release(const ReleasePermit &release)
{
    wire::PermitCommands commands;
    wire::Release *message = commands.add_releases();
    message->set_permit_id(release.permitId);
    message->set_upstream(release.upstream);
    message->set_cost(release.cost);
    message->set_pushed_back(release.pushedBack);
    send(release.owner, commands);
}

void PermitClient::adoptPermit(const AdoptPermit &permit)
{
    wire::PermitCommands commands;
    wire::Held *message = commands.add_held();
    message->set_permit_id(permit.permitId);
    message->set_upstream(permit.upstream);
    message->set_team(permit.team);
    streamTo(permit.owner, permit.ownerAddress)->send(commands);
}

void PermitClient::claim(const ClaimKey &claim)
{
    wire::PermitCommands commands;
    wire::Claim *message = commands.add_claims();
    message->set_claim_id(claim.claimId);
    message->set_team(claim.key.team);
    message->set_key(claim.key.text);
    message->set_issued_unix_ms(claim.key.issued.time_since_epoch().count());
    streamTo(claim.holder, claim.holderAddress)->send(commands);
}

void PermitClient::finishClaim(const FinishClaim &finish)
{
    wire::PermitCommands commands;
    wire::ClaimEnd *message = commands.add_claim_ends();
    message->set_team(finish.key.team);
    message->set_key(finish.key.text);
    message->set_issued_unix_ms(finish.key.issued.time_since_epoch().count());
    message->set_state(static_cast<std::uint32_t>(finish.state));
    *message->mutable_answer() = toWire(finish.answer);
    send(finish.holder, commands);
}

void PermitClient::requestAllowance(const RequestAllowance &request)
{
    wire::PermitCommands commands;
    wire::AllowanceAsk *message = commands.add_allowance_asks();
    message->set_ask_id(request.ask.requestId);
    message->set_team(request.ask.team);
    message->set_used(static_cast<std::uint32_t>(request.ask.used));
    message->set_wanted(static_cast<std::uint32_t>(request.ask.wanted));
    streamTo(request.owner, request.ownerAddress)->send(commands);
}

bool PermitClient::removeStream(const std::string &owner, std::uint64_t stream)
{
    const auto it = m_streams.find(owner);
    if (it == m_streams.end() || it->second->id() != stream)
        return false;
    m_streams.erase(it);
    return true;
}

void PermitClient::close()
{
    for (const auto &[owner, it] : m_streams)
        it->close();
    m_streams.clear();
    std::unique_lock lock(m_openStreams->mutex);
    m_openStreams->allEnded.wait(lock, [&] { return m_openStreams->streams == 0; });
}

std::shared_ptr<PermitClient::Stream> PermitClient::streamTo(const std::string &owner,
                                                             const std::string &address)
{
    Channel &channel = m_channels[owner];
    if (channel.address != address) {
        channel = {address, openChannel(address)};
        const auto old = m_streams.find(owner);
        if (old != m_streams.end())
            old->second->close();
        // The end of the old stream is reported like any other; until then it stays in m_streams.
    }
    const auto existing = m_streams.find(owner);
    if (existing != m_streams.end())
        return existing->second;
    auto stream = std::make_shared<Stream>(owner, m_nextStream++, m_listener, m_openStreams);
    m_streams.emplace(owner, stream);
    stream->start(stream, channel.channel);
    wire::PermitCommands hello;
    hello.set_node(m_node);
    stream->send(hello);
    return stream;
}

void PermitClient::send(const std::string &owner, const wire::PermitCommands &commands)
{
    const auto it = m_streams.find(owner);
    if (it != m_streams.end())
        it->second->send(commands);
}

} // namespace fordwood::adapters
