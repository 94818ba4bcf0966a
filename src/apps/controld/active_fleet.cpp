// SPDX-License-Identifier: MIT
#include "apps/controld/active_fleet.hpp"

#include <utility>

#include "adapters/grpc/peer_codec.hpp"
#include "adapters/platform/proto_head_codec.hpp"

namespace fordwood::apps {

bool ActiveFleet::apply(const ApplyConfiguration &action, config::ConfigErrors &errors)
{
    auto configuration = m_assembler.assemble(action.pieces, errors);
    if (!configuration)
        return false;
    m_configuration = std::move(configuration);
    m_head = action.head;
    m_pieces = action.pieces;
    return true;
}

void ActiveFleet::apply(const ApplyMembers &action)
{
    m_members = action;
}

std::vector<OwnedUpstream> ActiveFleet::ownedUpstreams() const
{
    const FleetView fleet = view();
    std::vector<OwnedUpstream> owned;
    for (const UpstreamConfig *it : fleet.ownedBy(m_self))
        owned.push_back({it->name, it->slots, fleet.isLeaving(it->name), it->prefillTokensPerSecond,
                         static_cast<std::size_t>(it->cacheTokens)});
    return owned;
}

std::map<std::string, double> ActiveFleet::teamShares() const
{
    std::map<std::string, double> shares;
    for (const auto &[name, it] : m_configuration->teams)
        shares[name] = it.share;
    return shares;
}

std::map<std::string, std::size_t> ActiveFleet::ceilingPools() const
{
    const FleetView fleet = view();
    std::map<std::string, std::size_t> pools;
    for (const auto &[name, it] : m_configuration->teams) {
        const Member *owner = it.maxRunning > 0 ? fleet.teamOwner(name) : nullptr;
        if (owner != nullptr && owner->name == m_self.name)
            pools[name] = fleet.ceilingPool(it);
    }
    return pools;
}

WeightLoader::Plan ActiveFleet::loadPlan(const std::vector<OwnedUpstream> &owned) const
{
    WeightLoader::Plan plan;
    plan.configVersion = m_head.version;
    plan.maxConcurrentLoads = m_configuration->limits.maxLoadsAtOnce;
    plan.members = m_members.members.size();
    for (const OwnedUpstream &it : owned) {
        const UpstreamConfig &upstream = m_configuration->upstreams.at(it.name);
        if (upstream.kind != UpstreamKind::Engine || it.leaving)
            continue;
        for (const std::string &model : upstream.models)
            plan.targets.push_back({it.name, upstream.address, model,
                                    m_configuration->models.at(model).weightVersion});
    }
    return plan;
}

std::shared_ptr<wire::Snapshot> ActiveFleet::snapshot() const
{
    auto snapshot = std::make_shared<wire::Snapshot>();
    *snapshot->mutable_head() = adapters::toWire(m_head);
    snapshot->mutable_head()->clear_recent_submission_ids();
    snapshot->mutable_head()->clear_delta();
    for (const StoredPiece &it : m_pieces) {
        wire::PieceReference *reference = snapshot->mutable_manifest()->add_pieces();
        reference->set_name(it.name);
        reference->set_sha256(it.sha256);
        wire::Piece *piece = snapshot->add_new_pieces();
        piece->set_name(it.name);
        piece->set_sha256(it.sha256);
        piece->set_text(it.text);
    }
    for (const Member &it : m_members.members)
        *snapshot->add_members() = adapters::toWire(it);
    for (const std::string &it : m_members.leavingUpstreams)
        snapshot->add_leaving_upstreams(it);
    snapshot->set_listed_members(static_cast<std::uint32_t>(m_members.listed));
    return snapshot;
}

FleetView ActiveFleet::view() const
{
    return {m_head.version,       m_configuration, m_members.members, m_members.leavingUpstreams,
            m_self.failureDomain, m_members.listed};
}

} // namespace fordwood::apps
