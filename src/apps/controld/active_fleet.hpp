// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_CONTROLD_ACTIVE_FLEET_HPP_INCLUDED
#define FORDWOOD_APPS_CONTROLD_ACTIVE_FLEET_HPP_INCLUDED

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "adapters/grpc/control_service.hpp"
#include "apps/controld/weight_loader.hpp"
#include "config/configuration_assembler.hpp"
#include "fordwood/fleet_view.hpp"
#include "fordwood/permit_scheduler.hpp"
#include "fordwood/replicator.hpp"

namespace fordwood::apps {

// The active configuration and members of this node, and what the other components derive from
// them. Used only on the control thread.
class ActiveFleet
{
public:
    explicit ActiveFleet(Member self) : m_self(std::move(self)) { }

    // Activates a configuration. Returns false and sets `errors` when its pieces are not a valid
    // configuration; the previous one then stays active.
    bool apply(const ApplyConfiguration &action, config::ConfigErrors &errors);

    // Replaces the members and the leaving upstreams.
    void apply(const ApplyMembers &action);

    bool hasConfiguration() const { return m_configuration != nullptr; }
    const ConfigHead &head() const { return m_head; }
    const std::vector<StoredPiece> &pieces() const { return m_pieces; }
    const std::vector<Member> &members() const { return m_members.members; }
    const std::set<std::string> &leavingUpstreams() const { return m_members.leavingUpstreams; }

    // The functions below require a configuration.

    // The upstreams for which this node grants permits.
    std::vector<OwnedUpstream> ownedUpstreams() const;

    // The share of each team.
    std::map<std::string, double> teamShares() const;

    // How much of each owned team's ceiling this node may allocate.
    std::map<std::string, std::size_t> ceilingPools() const;

    // The weights that the owned engines must serve.
    WeightLoader::Plan loadPlan(const std::vector<OwnedUpstream> &owned) const;

    // The configuration and the members, for the entry nodes.
    std::shared_ptr<wire::Snapshot> snapshot() const;

private:
    FleetView view() const;

    const Member m_self;
    config::ConfigurationAssembler m_assembler;
    ConfigHead m_head;
    std::vector<StoredPiece> m_pieces;
    std::shared_ptr<const Configuration> m_configuration;
    ApplyMembers m_members;
};

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CONTROLD_ACTIVE_FLEET_HPP_INCLUDED
