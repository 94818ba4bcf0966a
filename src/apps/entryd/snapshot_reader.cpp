// SPDX-License-Identifier: MIT
#include "apps/entryd/snapshot_reader.hpp"

#include "adapters/grpc/peer_codec.hpp"
#include "config/read_configuration.hpp"

namespace fordwood::apps {

SnapshotReader::SnapshotReader(std::string ownFailureDomain)
    : m_ownFailureDomain(std::move(ownFailureDomain))
{ }

std::shared_ptr<const FleetView> SnapshotReader::read(const wire::Snapshot &snapshot,
                                                      std::string &error)
{
    if (snapshot.head().version() < m_version) {
        error = "version " + std::to_string(snapshot.head().version()) + " is older than "
                + std::to_string(m_version);
        return nullptr;
    }
    if (snapshot.head().manifest_sha256() != m_manifestSha256 || !m_configuration) {
        config::ConfigErrors errors;
        std::map<std::string, config::Document> pieces;
        for (const wire::Piece &it : snapshot.new_pieces()) {
            if (auto document = config::parseDocument(it.name(), it.text(), errors))
                m_pieces.insert_or_assign(it.sha256(), std::move(*document));
        }
        std::vector<config::Document> documents;
        for (const wire::PieceReference &it : snapshot.manifest().pieces()) {
            const auto known = m_pieces.find(it.sha256());
            if (known == m_pieces.end()) {
                error = "piece " + it.name() + " is missing";
                return nullptr;
            }
            documents.push_back(known->second);
            pieces.emplace(it.sha256(), known->second);
        }
        auto configuration = config::readConfiguration(documents, errors);
        if (!configuration || !errors.empty()) {
            error = errors.empty() ? "damaged" : errors.front().toString();
            return nullptr;
        }
        m_pieces = std::move(pieces);
        m_configuration = std::make_shared<const Configuration>(std::move(*configuration));
        m_manifestSha256 = snapshot.head().manifest_sha256();
    }
    m_version = snapshot.head().version();
    std::vector<Member> members;
    for (const wire::Member &it : snapshot.members())
        members.push_back(
            {it.name(), it.failure_domain(), it.region(), it.control_address(), it.leaving()});
    const std::set<std::string> leaving(snapshot.leaving_upstreams().begin(),
                                        snapshot.leaving_upstreams().end());
    return std::make_shared<const FleetView>(m_version, m_configuration, std::move(members),
                                             leaving, m_ownFailureDomain);
}

} // namespace fordwood::apps
