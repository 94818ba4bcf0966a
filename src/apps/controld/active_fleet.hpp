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

// The configuration and the members that are in force on this node, and what follows from them for
// its duties. Of the control thread alone.
class ActiveFleet
{
public:
    explicit ActiveFleet(Member self) : m_self(std::move(self)) { }

    // Puts a configuration in force. False when its pieces do not make one; the one before it stays
    // then, and `errors` says why.
    bool apply(const ApplyConfiguration &action, config::ConfigErrors &errors);

    // Takes the members and leaving upstreams.
    void apply(const ApplyMembers &action);

    bool hasConfiguration() const { return m_configuration != nullptr; }
    const ConfigHead &head() const { return m_head; }
    const std::vector<StoredPiece> &pieces() const { return m_pieces; }
    const std::vector<Member> &members() const { return m_members.members; }
    const std::set<std::string> &leavingUpstreams() const { return m_members.leavingUpstreams; }

    // The rest needs a configuration.

    // The upstreams for which this node grants permits.
    std::vector<OwnedUpstream> ownedUpstreams() const;

    // Shares of the teams.
    std::map<std::string, double> teamShares() const;

    // What this node may give away of the ceilings of the teams that it owns.
    std::map<std::string, std::size_t> ceilingPools() const;

    // Which weights the owned engines must serve.
    WeightLoader::Plan loadPlan(const std::vector<OwnedUpstream> &owned) const;

    // All of it, for the entry nodes.
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
