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

// Calls a function with each pair of maps of two configurations.
template <typename Function>
void forEachMap(Configuration &whole, const Configuration &part, const Function &function)
{
    function(whole.failureDomains, part.failureDomains);
    function(whole.teams, part.teams);
    function(whole.models, part.models);
    function(whole.upstreams, part.upstreams);
    function(whole.routes, part.routes);
    function(whole.stores, part.stores);
}

void remove(Configuration &whole, const Configuration &part)
{
    forEachMap(whole, part, [](auto &from, const auto &entries) {
        for (const auto &[name, it] : entries)
            from.erase(name);
    });
}

void add(Configuration &whole, const Configuration &part)
{
    forEachMap(whole, part,
               [](auto &to, const auto &entries) { to.insert(entries.begin(), entries.end()); });
}

} // namespace

std::shared_ptr<const Configuration>
ConfigurationAssembler::assemble(const std::vector<StoredPiece> &pieces, ConfigErrors &errors)
{
    std::map<std::string, Part> parts;
    std::vector<const Part *> fresh;
    for (const StoredPiece &it : pieces) {
        const auto known = m_parts.find(it.name);
        if (known != m_parts.end() && known->second.sha256 == it.sha256) {
            parts.insert(*known);
            continue;
        }
        const auto part = readPiece(it, errors);
        if (!part)
            return nullptr;
        fresh.push_back(&(parts[it.name] = Part{it.sha256, part}));
    }
    // A table may move from one piece to another: all that goes is taken out before anything is
    // added.
    auto whole = std::make_shared<Configuration>(m_whole ? *m_whole : Configuration{});
    for (const auto &[name, it] : m_parts) {
        const auto kept = parts.find(name);
        if (kept == parts.end() || kept->second.sha256 != it.sha256)
            remove(*whole, *it.content);
    }
    for (const Part *it : fresh)
        add(*whole, *it->content);
    const auto limits = parts.find("limits");
    whole->limits = limits == parts.end() ? LimitsConfig{} : limits->second.content->limits;
    m_parts = std::move(parts);
    m_whole = whole;
    return whole;
}

} // namespace fordwood::config
