// SPDX-License-Identifier: MIT
#include "config/configuration_assembler.hpp"

#include "config/document.hpp"
#include "config/read_configuration.hpp"

namespace fordwood::config {

namespace {

std::shared_ptr<const Configuration> readPiece(const StoredPiece &piece, ConfigErrors &errors)
{
    auto document = parseDocument(piece.name, piece.text, errors);
    if (!document)
        return nullptr;
    const std::vector<Document> documents{std::move(*document)};
    auto part = readTables(documents, errors);
    return part ? std::make_shared<const Configuration>(std::move(*part)) : nullptr;
}

void add(Configuration &whole, const Configuration &part, bool limits)
{
    if (limits)
        whole.limits = part.limits;
    whole.failureDomains.insert(part.failureDomains.begin(), part.failureDomains.end());
    whole.teams.insert(part.teams.begin(), part.teams.end());
    whole.models.insert(part.models.begin(), part.models.end());
    whole.upstreams.insert(part.upstreams.begin(), part.upstreams.end());
    whole.routes.insert(part.routes.begin(), part.routes.end());
    whole.stores.insert(part.stores.begin(), part.stores.end());
}

} // namespace

std::shared_ptr<const Configuration>
ConfigurationAssembler::assemble(const std::vector<StoredPiece> &pieces, ConfigErrors &errors)
{
    std::map<std::string, std::shared_ptr<const Configuration>> parts;
    auto whole = std::make_shared<Configuration>();
    for (const StoredPiece &it : pieces) {
        const auto known = m_parts.find(it.sha256);
        const auto part = known != m_parts.end() ? known->second : readPiece(it, errors);
        if (!part)
            return nullptr;
        parts[it.sha256] = part;
        add(*whole, *part, it.name == "limits");
    }
    m_parts = std::move(parts);
    return whole;
}

} // namespace fordwood::config
