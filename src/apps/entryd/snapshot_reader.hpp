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

// Builds fleet views from controld's snapshots. Keeps the pieces it has received and parses only
// new ones.
class SnapshotReader
{
public:
    explicit SnapshotReader(std::string ownFailureDomain);

    // Returns the view that the snapshot describes, or null with `error` set if the snapshot is not
    // usable; the previous view then stays valid.
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
