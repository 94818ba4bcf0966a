// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_ENTRYD_SNAPSHOT_READER_HPP_INCLUDED
#define FORDWOOD_APPS_ENTRYD_SNAPSHOT_READER_HPP_INCLUDED

#include <map>
#include <memory>
#include <string>

#include "config/configuration_assembler.hpp"
#include "fordwood/control.pb.h"
#include "fordwood/fleet_view.hpp"

namespace fordwood::apps {

// Puts the snapshots of controld together: keeps the pieces that it was sent, and parses only those
// that are new.
class SnapshotReader
{
public:
    explicit SnapshotReader(std::string ownFailureDomain);

    // Gives the view that the snapshot describes, or null with `error` set when it cannot be used;
    // the view given before then stays in force.
    std::shared_ptr<const FleetView> read(const wire::Snapshot &snapshot, std::string &error);

private:
    std::string m_ownFailureDomain;
    std::map<std::string, std::string> m_pieceTexts; // pieces by digest
    config::ConfigurationAssembler m_assembler;
    std::string m_manifestSha256;
    std::shared_ptr<const Configuration> m_configuration;
    std::uint64_t m_version = 0;
};

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_ENTRYD_SNAPSHOT_READER_HPP_INCLUDED
