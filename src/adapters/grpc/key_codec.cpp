// SPDX-License-Identifier: MIT
#include "adapters/grpc/key_codec.hpp"

namespace fordwood::adapters {

namespace {

WallTime wallTime(std::int64_t unixMs)
{
    return WallTime(std::chrono::milliseconds(unixMs));
}

} // namespace

wire::KeptReply toWire(const StoredAnswer &answer)
{
    wire::KeptReply message;
    message.set_status(answer.status);
    message.set_content_type(answer.contentType);
    message.set_body(answer.body);
    return message;
}

StoredAnswer fromWire(const wire::KeptReply &message)
{
    return {message.status(), message.content_type(), message.body()};
}

ClaimAnswer fromWire(const wire::ClaimReply &message)
{
    ClaimAnswer answer;
    answer.decision = static_cast<ClaimAnswer::Decision>(message.decision());
    answer.reason = info(static_cast<Reason>(message.reason())).reason;
    answer.state = static_cast<RunState>(message.state());
    answer.holder = message.holder();
    answer.answer = fromWire(message.answer());
    return answer;
}

IdempotencyKey keyOf(const wire::Claim &message)
{
    return {message.team(), message.key(), wallTime(message.issued_unix_ms())};
}

IdempotencyKey keyOf(const wire::ClaimEnd &message)
{
    return {message.team(), message.key(), wallTime(message.issued_unix_ms())};
}

wire::TenureChains toWire(const std::map<std::uint32_t, TenureChain> &chains)
{
    wire::TenureChains message;
    for (const auto &[partition, chain] : chains) {
        wire::PartitionChain *partitionChain = message.add_chains();
        partitionChain->set_partition(partition);
        for (const Tenure &it : chain) {
            wire::TenureInterval *tenure = partitionChain->add_tenures();
            tenure->set_node(it.holder.node);
            tenure->set_boot(it.holder.boot);
            tenure->set_from_unix_ms(it.from.time_since_epoch().count());
            tenure->set_until_unix_ms(it.until.time_since_epoch().count());
        }
    }
    return message;
}

std::map<std::uint32_t, TenureChain> fromWire(const wire::TenureChains &message)
{
    std::map<std::uint32_t, TenureChain> chains;
    for (const wire::PartitionChain &partitionChain : message.chains()) {
        TenureChain &chain = chains[partitionChain.partition()];
        for (const wire::TenureInterval &it : partitionChain.tenures())
            chain.push_back({{it.node(), it.boot()},
                             wallTime(it.from_unix_ms()),
                             wallTime(it.until_unix_ms())});
    }
    return chains;
}

wire::ClaimEnd toWire(const HandedKey &key)
{
    wire::ClaimEnd message;
    message.set_team(key.key.team);
    message.set_key(key.key.text);
    message.set_issued_unix_ms(key.key.issued.time_since_epoch().count());
    message.set_state(static_cast<std::uint32_t>(key.state));
    if (key.answer)
        *message.mutable_answer() = toWire(*key.answer);
    return message;
}

HandedKeys fromWire(const wire::HandedKeys &message)
{
    HandedKeys handed;
    handed.floor = wallTime(message.floor_unix_ms());
    for (const wire::ClaimEnd &it : message.keys()) {
        HandedKey key{keyOf(it), static_cast<RunState>(it.state()), std::nullopt};
        if (it.has_answer())
            key.answer = fromWire(it.answer());
        handed.keys.push_back(std::move(key));
    }
    return handed;
}

} // namespace fordwood::adapters
