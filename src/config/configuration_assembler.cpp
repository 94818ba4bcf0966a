// SPDX-License-Identifier: MIT
#include "config/configuration_assembler.hpp"

#include "config/document.hpp"
#include "config/read_configuration.hpp"

namespace fordwood::config {

namespace {

std::shared_ptr<const Configuration> parsePiece(const StoredPiece &piece, ConfigErrors &errors)
{
    auto document = parseDocument(piece.name, piece.text, errors);
    if (!document)
        return nullptr;
    const std::vector<Document> documents{std::move(*document)};
    auto part = readTables(documents, errors);
    return part ? std::make_shared<const Configuration>(std::move(*part)) : nullptr;
}

// Calls a function with each map of `merged` and the corresponding map of `part`.
template <typename Function>
void forEachMap(Configuration &merged, const Configuration &part, const Function &function)
{
    function(merged.failureDomains, part.failureDomains);
    function(merged.teams, part.teams);
    function(merged.models, part.models);
    function(merged.upstreams, part.upstreams);
    function(merged.routes, part.routes);
    function(merged.stores, part.stores);
}

void removeEntries(Configuration &merged, const Configuration &part)
{
    forEachMap(merged, part, [](auto &from, const auto &entries) {
        for (const auto &[name, it] : entries)
            from.erase(name);
    });
}

void addEntries(Configuration &merged, const Configuration &part)
{
    forEachMap(merged, part,
               [](auto &to, const auto &entries) { to.insert(entries.begin(), entries.end()); });
}

} // namespace

std::shared_ptr<const Configuration>
ConfigurationAssembler::assemble(const std::vector<StoredPiece> &pieces, ConfigErrors &errors)
{
    std::map<std::string, ParsedPiece> parsedPieces;
    std::vector<const ParsedPiece *> newPieces;
    for (const StoredPiece &it : pieces) {
        const auto previous = m_pieces.find(it.name);
        if (previous != m_pieces.end() && previous->second.sha256 == it.sha256) {
            parsedPieces.insert(*previous);
            continue;
        }
        const auto part = parsePiece(it, errors);
        if (!part)
            return nullptr;
        newPieces.push_back(&(parsedPieces[it.name] = ParsedPiece{it.sha256, part}));
    }
    // A table may move from one piece to another, so all removals come before the additions.
    auto merged
        = std::make_shared<Configuration>(m_configuration ? *m_configuration : Configuration{});
    for (const auto &[name, it] : m_pieces) {
        const auto kept = parsedPieces.find(name);
        if (kept == parsedPieces.end() || kept->second.sha256 != it.sha256)
            removeEntries(*merged, *it.content);
    }
    for (const ParsedPiece *it : newPieces)
        addEntries(*merged, *it->content);
    const auto limits = parsedPieces.find("limits");
    merged->limits = limits == parsedPieces.end() ? LimitsConfig{} : limits->second.content->limits;
    m_pieces = std::move(parsedPieces);
    m_configuration = merged;
    return merged;
}

} // namespace fordwood::config
