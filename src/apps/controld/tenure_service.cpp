// SPDX-License-Identifier: MIT
#include "apps/controld/tenure_service.hpp"

#include <set>

#include <grpcpp/create_channel.h>

#include "adapters/grpc/key_codec.hpp"
#include "adapters/observe/event_log.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood::apps {

namespace {

using adapters::Event;
using adapters::logEvent;

constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr std::chrono::milliseconds kPeerCallTimeout{500};

std::vector<std::uint64_t> hashesOf(const std::vector<TenureMember> &members)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(members.size());
    for (const TenureMember &it : members)
        hashes.push_back(stableHash(it.holder.node));
    return hashes;
}

} // namespace

TenureService::TenureService(const std::string &storeAddress, std::string self, const Clock &clock,
                             TenureListener &listener, adapters::Metrics &metrics)
    : m_store(storeAddress), m_self(std::move(self)), m_clock(clock), m_listener(listener),
      m_metrics(metrics)
{ }

TenureService::~TenureService()
{
    stop();
}

void TenureService::start()
{
    m_thread = std::thread([this] { run(); });
}

void TenureService::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void TenureService::setMembers(std::vector<TenureMember> members)
{
    const std::lock_guard lock(m_mutex);
    const bool first = m_members.empty() && !members.empty();
    m_members = std::move(members);
    if (first)
        m_wake.notify_all();
}

grpc::ServerUnaryReactor *TenureService::Learn(grpc::CallbackServerContext *context,
                                               const wire::TenureChains *request,
                                               wire::LearnReply *)
{
    m_listener.onChainsReceived(adapters::fromWire(*request));
    grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

grpc::ServerUnaryReactor *TenureService::HandOver(grpc::CallbackServerContext *context,
                                                  const wire::HandedKeys *request,
                                                  wire::LearnReply *)
{
    m_listener.onKeysReceived(adapters::fromWire(*request));
    grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

void TenureService::run()
{
    while (waitForNextPeriod()) {
        std::vector<TenureMember> members;
        {
            const std::lock_guard lock(m_mutex);
            members = m_members;
        }
        const auto hashes = hashesOf(members);
        for (std::uint32_t value = 0; value < kTenureValues; ++value) {
            const int extender = tenureExtenderIndex(value, hashes);
            if (extender >= 0 && members[static_cast<std::size_t>(extender)].holder.node == m_self)
                extendValue(value, members);
        }
    }
}

void TenureService::extendValue(std::uint32_t value, const std::vector<TenureMember> &members)
{
    const auto stored = read(value);
    if (!stored)
        return;
    const auto hashes = hashesOf(members);
    const auto chains = extendTenures(
        stored->chains, value,
        [&](std::uint32_t partition) {
            const int index = keyHolderIndex(partition, hashes);
            return index < 0 ? KeyHolder{} : members[static_cast<std::size_t>(index)].holder;
        },
        m_clock.wallNow(), m_timings);
    const std::vector<ConditionalWrite> write{
        {tenureKey(value), stored->revision, adapters::toWire(chains).SerializeAsString()}};
    m_metrics.count("fordwood_tenure_writes_total");
    const auto done = m_store.write(write, kCallTimeout);
    // Send only chains that are known to be stored. If the reply to a write was lost, the next
    // period reads the value again.
    if (!done || !*done) {
        m_metrics.count(done ? "fordwood_tenure_conflicts_total" : "fordwood_tenure_errors_total");
        return;
    }
    sendChains(members, chains);
}

std::optional<TenureService::StoredChains> TenureService::read(std::uint32_t value)
{
    m_metrics.count("fordwood_platform_reads_total");
    const auto stored = m_store.get(tenureKey(value), kCallTimeout);
    wire::TenureChains message;
    if (!stored || (*stored && !message.ParseFromString((*stored)->value))) {
        m_metrics.count("fordwood_tenure_errors_total");
        return std::nullopt;
    }
    StoredChains result;
    result.chains = adapters::fromWire(message);
    result.revision = *stored ? (*stored)->revision : 0;
    return result;
}

// Sends each holder the chains of its partitions. A holder that misses the message continues with
// its previous tenure, which ends earlier.
void TenureService::sendChains(const std::vector<TenureMember> &members,
                               const std::map<std::uint32_t, TenureChain> &chains)
{
    std::map<std::string, std::map<std::uint32_t, TenureChain>> byNode;
    for (const auto &[partition, chain] : chains) {
        if (!chain.empty())
            byNode[chain.back().holder.node][partition] = chain;
    }
    for (const TenureMember &it : members) {
        const auto own = byNode.find(it.holder.node);
        if (own == byNode.end())
            continue;
        if (it.holder.node == m_self) {
            m_listener.onChainsReceived(own->second);
            continue;
        }
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + kPeerCallTimeout);
        wire::LearnReply reply;
        if (!stubOf(it.controlAddress).Learn(&context, adapters::toWire(own->second), &reply).ok())
            m_metrics.count("fordwood_tenure_untold_total");
    }
}

wire::Keys::Stub &TenureService::stubOf(const std::string &address)
{
    auto &stub = m_stubs[address];
    if (!stub)
        stub
            = wire::Keys::NewStub(grpc::CreateChannel(address, grpc::InsecureChannelCredentials()));
    return *stub;
}

// Sends a successor the keys before the tenures: with only the tenures, it would treat keys whose
// requests have already run as new.
void TenureService::handOver(const KeyHolder &self, const HandedKeys &handed)
{
    std::vector<TenureMember> others;
    {
        const std::lock_guard lock(m_mutex);
        others = m_members;
    }
    std::erase_if(others, [&](const TenureMember &it) { return it.holder.node == self.node; });
    const auto hashes = hashesOf(others);
    const auto successorIndex
        = [&](std::uint32_t partition) { return keyHolderIndex(partition, hashes); };
    std::set<int> ready;
    for (const auto &[index, keys] : groupBySuccessor(handed, successorIndex)) {
        if (index >= 0 && sendKeys(others[static_cast<std::size_t>(index)], keys))
            ready.insert(index);
    }
    const auto successor = [&](std::uint32_t partition) {
        const int index = successorIndex(partition);
        return ready.count(index) == 0 ? KeyHolder{}
                                       : others[static_cast<std::size_t>(index)].holder;
    };
    bool isComplete = true;
    for (std::uint32_t value = 0; value < kTenureValues; ++value)
        isComplete = handOverValue(value, self, others, successor) && isComplete;
    logEvent(isComplete ? Event::KeysHandedOver : Event::KeysNotHandedOver,
             {{"keys", handed.keys.size()}, {"successors", ready.size()}});
}

// Sends the keys in several messages, to bound their size. Returns false when a message failed.
bool TenureService::sendKeys(const TenureMember &to, const HandedKeys &keys)
{
    constexpr std::size_t kMaxMessageBytes = 1 << 20;
    std::size_t next = 0;
    do {
        wire::HandedKeys message;
        message.set_floor_unix_ms(keys.floor.time_since_epoch().count());
        for (; next < keys.keys.size() && message.ByteSizeLong() < kMaxMessageBytes; ++next)
            *message.add_keys() = adapters::toWire(keys.keys[next]);
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + kPeerCallTimeout);
        wire::LearnReply reply;
        if (!stubOf(to.controlAddress).HandOver(&context, message, &reply).ok())
            return false;
    } while (next < keys.keys.size());
    return true;
}

bool TenureService::handOverValue(std::uint32_t value, const KeyHolder &self,
                                  const std::vector<TenureMember> &members,
                                  const std::function<KeyHolder(std::uint32_t)> &successor)
{
    constexpr int kMaxAttempts = 3; // the node that extends the value may write at the same time
    for (int it = 0; it < kMaxAttempts; ++it) {
        const auto stored = read(value);
        if (!stored)
            continue;
        const auto chains = handOverTenures(stored->chains, self, successor);
        if (chains == stored->chains) // no tenure of this process, or an earlier write succeeded
                                      // but its reply was lost
            return true;
        const std::vector<ConditionalWrite> write{
            {tenureKey(value), stored->revision, adapters::toWire(chains).SerializeAsString()}};
        const auto done = m_store.write(write, kCallTimeout);
        if (!done || !*done)
            continue;
        sendChains(members, chains);
        return true;
    }
    return false;
}

// Waits for the next period. Returns false when the service is being stopped.
bool TenureService::waitForNextPeriod()
{
    std::unique_lock lock(m_mutex);
    const bool hadMembers = !m_members.empty();
    m_wake.wait_for(lock, m_timings.period,
                    [&] { return m_stopping || (!hadMembers && !m_members.empty()); });
    return !m_stopping;
}

} // namespace fordwood::apps
