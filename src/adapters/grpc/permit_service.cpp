// SPDX-License-Identifier: MIT
#include "adapters/grpc/permit_service.hpp"

#include <unordered_map>

#include "adapters/grpc/key_codec.hpp"
#include "adapters/grpc/stream_writer.hpp"

namespace fordwood::adapters {

namespace {

std::uint32_t toMs(Duration time)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

void addAnswer(wire::PermitEvents &events, const PermitAnswer &answer)
{
    if (answer.granted) {
        wire::Grant *grant = events.add_grants();
        grant->set_ask_id(answer.requestId);
        grant->set_permit_id(answer.permitId);
        grant->set_waited_ms(toMs(answer.waited));
        grant->set_send_within_ms(toMs(answer.sendWithin));
        return;
    }
    wire::Denial *denial = events.add_denials();
    denial->set_ask_id(answer.requestId);
    denial->set_reason(static_cast<std::uint32_t>(answer.reason));
    denial->set_retry_after_ms(toMs(answer.retryAfter));
    denial->set_first_token_in_ms(toMs(answer.firstTokenIn));
}

} // namespace

// A stream from one entry node. Holds a reference to itself until gRPC has finished it.
class PermitService::Stream
    : public grpc::ServerBidiReactor<wire::PermitCommands, wire::PermitEvents>
{
public:
    Stream(PermitService &service, HolderId holder)
        : m_service(service), m_holder(holder),
          m_writer([this](const wire::PermitEvents *it) { StartWrite(it); })
    { }

    void start(std::shared_ptr<Stream> self)
    {
        m_self = std::move(self);
        StartRead(&m_incoming);
    }

    void send(const wire::PermitEvents &events) { m_writer.send(events); }

    void finish()
    {
        m_writer.close([this] { Finish(grpc::Status::OK); });
    }

    void OnReadDone(bool ok) override
    {
        if (!ok)
            return finish();
        if (!m_service.m_listener.commandsArrived(m_holder, m_incoming))
            rejectCommands();
        StartRead(&m_incoming);
    }

    void OnWriteDone(bool ok) override
    {
        if (!ok)
            return finish();
        m_writer.onWritten();
    }

    void OnCancel() override { finish(); }

    void OnDone() override
    {
        m_service.remove(m_holder);
        const auto self = std::move(m_self);
    }

private:
    // The owner's queue is full: denies every request at once, so that none stays unanswered.
    void rejectCommands()
    {
        wire::PermitEvents events;
        for (const wire::Ask &it : m_incoming.asks()) {
            wire::Denial *denial = events.add_denials();
            denial->set_ask_id(it.ask_id());
            denial->set_reason(static_cast<std::uint32_t>(Reason::RingFull));
        }
        for (const wire::AllowanceAsk &it : m_incoming.allowance_asks()) {
            wire::AllowanceReply *reply = events.add_allowances();
            reply->set_ask_id(it.ask_id());
            reply->set_team(it.team());
        }
        for (const wire::Claim &it : m_incoming.claims()) {
            wire::ClaimReply *reply = events.add_claim_replies();
            reply->set_claim_id(it.claim_id());
            reply->set_decision(static_cast<std::uint32_t>(ClaimAnswer::Decision::Refuse));
            reply->set_reason(static_cast<std::uint32_t>(Reason::RingFull));
            reply->set_state(static_cast<std::uint32_t>(RunState::MayHaveRun));
        }
        send(events);
    }

    PermitService &m_service;
    HolderId m_holder;
    std::shared_ptr<Stream> m_self;
    wire::PermitCommands m_incoming;
    StreamWriter<wire::PermitEvents, MergedMessages> m_writer;
};

PermitService::PermitService(PermitListener &listener) : m_listener(listener) { }

PermitService::~PermitService() = default;

void PermitService::send(const std::vector<PermitAnswer> &answers)
{
    std::unordered_map<HolderId, wire::PermitEvents> byHolder;
    for (const PermitAnswer &it : answers)
        addAnswer(byHolder[it.holder], it);
    for (const auto &[holder, events] : byHolder)
        sendTo(holder, events);
}

void PermitService::sendClaimAnswer(HolderId holder, std::uint64_t claimId,
                                    const ClaimAnswer &answer)
{
    wire::PermitEvents events;
    wire::ClaimReply *reply = events.add_claim_replies();
    reply->set_claim_id(claimId);
    reply->set_decision(static_cast<std::uint32_t>(answer.decision));
    reply->set_reason(static_cast<std::uint32_t>(answer.reason));
    reply->set_state(static_cast<std::uint32_t>(answer.state));
    reply->set_holder(answer.holder);
    if (answer.decision == ClaimAnswer::Decision::Answer)
        *reply->mutable_answer() = toWire(answer.answer);
    sendTo(holder, events);
}

void PermitService::sendAllowance(const AllowanceRequest &request, const Allowance &allowance)
{
    wire::PermitEvents events;
    wire::AllowanceReply *reply = events.add_allowances();
    reply->set_ask_id(request.requestId);
    reply->set_team(request.team);
    reply->set_amount(static_cast<std::uint32_t>(allowance.amount));
    reply->set_life_ms(toMs(allowance.life));
    sendTo(request.holder, events);
}

void PermitService::sendTo(HolderId holder, const wire::PermitEvents &events)
{
    std::shared_ptr<Stream> stream;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_streams.find(holder);
        if (it != m_streams.end())
            stream = it->second;
    }
    if (stream)
        stream->send(events);
}

void PermitService::closeAll()
{
    std::vector<std::shared_ptr<Stream>> streams;
    {
        const std::lock_guard lock(m_mutex);
        m_isClosing = true;
        for (const auto &[holder, it] : m_streams)
            streams.push_back(it);
    }
    for (const auto &it : streams)
        it->finish();
}

grpc::ServerBidiReactor<wire::PermitCommands, wire::PermitEvents> *
PermitService::Exchange(grpc::CallbackServerContext *)
{
    std::shared_ptr<Stream> stream;
    bool isClosing = false;
    {
        const std::lock_guard lock(m_mutex);
        const HolderId holder = m_nextHolder++;
        stream = std::make_shared<Stream>(*this, holder);
        m_streams.emplace(holder, stream);
        isClosing = m_isClosing;
    }
    stream->start(stream);
    if (isClosing)
        stream->finish();
    return stream.get();
}

void PermitService::remove(HolderId holder)
{
    {
        const std::lock_guard lock(m_mutex);
        m_streams.erase(holder);
    }
    m_listener.holderGone(holder);
}

} // namespace fordwood::adapters
