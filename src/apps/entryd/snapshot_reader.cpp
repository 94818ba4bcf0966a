// SPDX-License-Identifier: MIT
#include "apps/entryd/snapshot_reader.hpp"

#include "adapters/grpc/peer_codec.hpp"

#include "adapters/grpc/peer_codec.hpp"

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
        for (const wire::Piece &it : snapshot.new_pieces())
            m_pieceTexts[it.sha256()] = it.text();
        std::map<std::string, std::string> texts;
        std::vector<StoredPiece> pieces;
        for (const wire::PieceReference &it : snapshot.manifest().pieces()) {
            const auto found = m_pieceTexts.find(it.sha256());
            if (found == m_pieceTexts.end()) {
                error = "piece " + it.name() + " is missing";
                return nullptr;
            }
            pieces.push_back({it.name(), it.sha256(), found->second});
            texts.emplace(it.sha256(), found->second);
        }
        config::ConfigErrors errors;
        auto configuration = m_assembler.assemble(pieces, errors);
        if (!configuration) {
            error = errors.empty() ? "damaged" : errors.front().toString();
            return nullptr;
        }
        m_pieceTexts = std::move(texts);
        m_configuration = std::move(configuration);
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
                                             leaving, m_ownFailureDomain,
                                             snapshot.listed_members());
}

} // namespace fordwood::apps
