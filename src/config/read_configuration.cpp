// SPDX-License-Identifier: MIT
#include "config/read_configuration.hpp"

#include <openssl/sha.h>

#include <bit>
#include <sstream>

#include "config/schema.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood::config {

namespace {

constexpr std::size_t kTablesPerPiece = 32;

// Converts checked tables to a Configuration and finds errors that involve several tables.
class ConfigurationReader
{
public:
    explicit ConfigurationReader(ConfigErrors &errors) : m_errors(errors) { }

    void read(const std::vector<CheckedTable> &tables)
    {
        for (const CheckedTable &it : tables)
            readTable(it);
    }

    void checkAllReferences(const std::vector<CheckedTable> &tables)
    {
        for (const CheckedTable &it : tables)
            checkReferences(it);
    }

    Configuration takeResult() { return std::move(m_result); }

private:
    void readTable(const CheckedTable &table)
    {
        const std::string_view section = table.section();
        if (section == "limits")
            m_result.limits = readLimits(table);
        else if (section == "failure_domain")
            add(table, m_result.failureDomains, "name",
                FailureDomainConfig{table.text("name"), table.text("region")});
        else if (section == "team")
            add(table, m_result.teams, "name", readTeam(table));
        else if (section == "model")
            add(table, m_result.models, "name",
                ModelConfig{table.text("name"), table.text("weight_version")});
        else if (section == "upstream")
            add(table, m_result.upstreams, "name", readUpstream(table));
        else if (section == "route")
            add(table, m_result.routes, "path",
                RouteConfig{table.text("path"), table.text("service"),
                            table.flag("repeatable", false)});
        else if (section == "store")
            add(table, m_result.stores, "name", readStore(table));
    }

    template <typename Map, typename Value>
    void add(const CheckedTable &table, Map &map, std::string_view key, Value value)
    {
        const std::string name = table.text(key);
        if (!map.emplace(name, std::move(value)).second)
            m_errors.push_back(table.error(key, "\"" + name + "\" is given twice",
                                           "expected each " + std::string(key) + " once"));
    }

    static LimitsConfig readLimits(const CheckedTable &table)
    {
        LimitsConfig limits;
        limits.defaultDeadline = table.span("default_deadline", limits.defaultDeadline);
        limits.maxDeadline = table.span("max_deadline", limits.maxDeadline);
        limits.permitLife = table.span("permit_life", limits.permitLife);
        limits.queuePerTeam = static_cast<std::size_t>(table.integer("queue_per_team", 256));
        limits.maxLoadsAtOnce = static_cast<std::size_t>(table.integer("max_loads_at_once", 2));
        limits.retryRatio = table.number("retry_ratio", limits.retryRatio);
        return limits;
    }

    static TeamConfig readTeam(const CheckedTable &table)
    {
        TeamConfig team;
        team.name = table.text("name");
        team.share = table.number("share", 1.0);
        team.priority = static_cast<int>(table.integer("priority", 0));
        team.maxRunning = table.integer("max_running", 0);
        for (const std::string &it : table.textList("key_sha256"))
            team.keyDigests.push_back(*parseDigest(it));
        return team;
    }

    static UpstreamConfig readUpstream(const CheckedTable &table)
    {
        UpstreamConfig upstream;
        upstream.name = table.text("name");
        upstream.kind
            = table.text("kind") == "service" ? UpstreamKind::Service : UpstreamKind::Engine;
        upstream.failureDomain = table.text("failure_domain");
        upstream.address = table.text("address");
        upstream.models = table.textList("models");
        upstream.service = table.text("service");
        upstream.slots = static_cast<std::size_t>(table.integer("slots", 1));
        upstream.prefillTokensPerSecond
            = table.number("prefill_tokens_per_second", upstream.prefillTokensPerSecond);
        upstream.cacheTokens = table.integer("cache_tokens", upstream.cacheTokens);
        upstream.checksFences = table.flag("checks_fences", false);
        upstream.refusesWhenFull = table.flag("refuses_when_full", false);
        upstream.resumes = table.flag("resumes", false);
        upstream.leaving = table.flag("leaving", false);
        return upstream;
    }

    static StoreConfig readStore(const CheckedTable &table)
    {
        StoreConfig store;
        store.name = table.text("name");
        store.failureDomain = table.text("failure_domain");
        store.address = table.text("address");
        store.memoryBytes = table.integer("memory_bytes", 0);
        store.diskBytes = table.integer("disk_bytes", 0);
        store.linkBytesPerSecond = table.number("link_bytes_per_second", 0);
        return store;
    }

    void checkReferences(const CheckedTable &table)
    {
        const std::string_view section = table.section();
        if (section == "upstream")
            checkUpstream(table);
        if (section == "upstream" || section == "store")
            checkDeclared(table, "failure_domain", table.text("failure_domain"),
                          m_result.failureDomains, "a [[failure_domain]]");
        if (section == "route")
            checkRoute(table);
        if (section == "team")
            checkTeam(table);
        if (section == "limits" && m_result.limits.defaultDeadline > m_result.limits.maxDeadline)
            m_errors.push_back(table.error("default_deadline", "is longer than max_deadline",
                                           "expected at most max_deadline"));
    }

    template <typename Map>
    void checkDeclared(const CheckedTable &table, std::string_view key, const std::string &name,
                       const Map &declared, const std::string &what)
    {
        if (declared.count(name) == 0)
            m_errors.push_back(table.error(key, "\"" + name + "\" is not declared",
                                           "expected the name of " + what));
    }

    void checkUpstream(const CheckedTable &table)
    {
        const std::string kind = table.text("kind");
        const bool isEngine = kind == "engine";
        if (!isEngine && kind != "service")
            m_errors.push_back(
                table.error("kind", "is \"" + kind + "\"", "expected \"engine\" or \"service\""));
        if (isEngine && table.textList("models").empty())
            m_errors.push_back(
                table.error("models", "is empty", "expected the models that the engine serves"));
        if (kind == "service" && table.text("service").empty())
            m_errors.push_back(
                table.error("service", "is missing", "expected the name of the plain service"));
        for (const std::string &it : table.textList("models"))
            checkDeclared(table, "models", it, m_result.models, "a [[model]]");
    }

    void checkRoute(const CheckedTable &table)
    {
        const std::string path = table.text("path");
        if (path.front() != '/' || path.rfind("/v1/", 0) == 0)
            m_errors.push_back(table.error("path", "is \"" + path + "\"",
                                           "expected a path that begins with / and not with /v1/"));
        const std::string service = table.text("service");
        for (const auto &[name, it] : m_result.upstreams) {
            if (it.kind == UpstreamKind::Service && it.service == service)
                return;
        }
        m_errors.push_back(table.error("service", "\"" + service + "\" has no upstream",
                                       "expected the service of an [[upstream]]"));
    }

    void checkTeam(const CheckedTable &table)
    {
        for (const std::string &it : table.textList("key_sha256")) {
            const auto [owner, isNew] = m_keyOwners.emplace(it, table.text("name"));
            if (!isNew)
                m_errors.push_back(table.error("key_sha256",
                                               "shares a key with another team or entry",
                                               "expected each digest once"));
        }
    }

    ConfigErrors &m_errors;
    Configuration m_result;
    std::map<std::string, std::string> m_keyOwners;
};

// Returns the key that identifies a table within its section.
std::string_view identityKey(std::string_view section)
{
    return section == "route" ? "path" : "name";
}

using Tables = std::map<std::string, const toml::table *>;

void splitSection(const Section &section, const Tables &tables, std::vector<ConfigPiece> &pieces)
{
    const std::size_t minPieces = (tables.size() + kTablesPerPiece - 1) / kTablesPerPiece;
    const std::size_t count = std::bit_ceil(std::max<std::size_t>(1, minPieces));
    std::vector<toml::array> buckets(count);
    for (const auto &[name, table] : tables)
        buckets[stableHash(name) & (count - 1)].push_back(*table);
    for (std::size_t it = 0; it < count; ++it) {
        if (buckets[it].empty())
            continue;
        toml::table piece;
        piece.insert(section.name, std::move(buckets[it]));
        std::ostringstream out;
        out << piece << "\n";
        pieces.push_back(
            {std::string(section.name) + "." + std::to_string(count) + "." + std::to_string(it),
             out.str()});
    }
}

} // namespace

std::optional<Configuration> readConfiguration(std::span<const Document> documents,
                                               ConfigErrors &errors)
{
    const std::size_t errorsBefore = errors.size();
    const auto tables = checkDocuments(documents, configurationSections(), errors);
    ConfigurationReader reader(errors);
    reader.read(tables);
    reader.checkAllReferences(tables);
    if (errors.size() != errorsBefore)
        return std::nullopt;
    return reader.takeResult();
}

std::optional<Configuration> readTables(std::span<const Document> documents, ConfigErrors &errors)
{
    const std::size_t errorsBefore = errors.size();
    ConfigurationReader reader(errors);
    reader.read(checkDocuments(documents, configurationSections(), errors));
    if (errors.size() != errorsBefore)
        return std::nullopt;
    return reader.takeResult();
}

std::vector<ConfigPiece> splitIntoPieces(std::span<const Document> documents)
{
    std::vector<ConfigPiece> pieces;
    for (const Section &section : configurationSections()) {
        Tables tables;
        for (const Document &document : documents) {
            const toml::node *node = document.table.get(section.name);
            if (node == nullptr)
                continue;
            if (!section.isArray) {
                std::ostringstream out;
                out << toml::table{{section.name, *node->as_table()}} << "\n";
                pieces.push_back({std::string(section.name), out.str()});
                continue;
            }
            for (const toml::node &it : *node->as_array()) {
                const toml::table &table = *it.as_table();
                tables[table.get(identityKey(section.name))->value_or(std::string())] = &table;
            }
        }
        if (section.isArray)
            splitSection(section, tables, pieces);
    }
    return pieces;
}

Sha256 sha256(std::string_view bytes)
{
    Sha256 digest{};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    return digest;
}

std::string sha256Hex(std::string_view bytes)
{
    constexpr char kDigits[] = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t it : sha256(bytes)) {
        text += kDigits[it >> 4];
        text += kDigits[it & 15];
    }
    return text;
}

} // namespace fordwood::config
