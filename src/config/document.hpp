// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONFIG_DOCUMENT_HPP_INCLUDED
#define FORDWOOD_CONFIG_DOCUMENT_HPP_INCLUDED

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "config/config_error.hpp"
#include "config/schema.hpp"
#include "fordwood/clock.hpp"
#include "fordwood/configuration.hpp"

namespace fordwood::config {

// A parsed TOML file; the file name is used in error messages.
struct Document
{
    std::string file;
    toml::table table;
};

// One table of a known section whose fields have passed the schema check. The accessors return the
// fallback, or an empty list, when the key is missing.
class CheckedTable
{
public:
    CheckedTable(std::string file, const Section &section, const toml::table &table)
        : m_file(std::move(file)), m_section(&section), m_table(&table)
    { }

    std::string text(std::string_view key, std::string_view fallback = "") const;
    std::int64_t integer(std::string_view key, std::int64_t fallback) const;
    double number(std::string_view key, double fallback) const;
    bool flag(std::string_view key, bool fallback) const;
    Duration span(std::string_view key, Duration fallback) const;
    std::vector<std::string> textList(std::string_view key) const;

    std::string_view section() const { return m_section->name; }
    const toml::table &table() const { return *m_table; }

    // Creates an error located at a key of this table, or at the table when the key is missing.
    ConfigError error(std::string_view key, std::string problem, std::string expected) const;

private:
    std::string m_file;
    const Section *m_section;
    const toml::table *m_table;
};

// Parses a TOML text. Adds a syntax error to `errors` and returns nothing.
std::optional<Document> parseDocument(const std::string &file, std::string_view text,
                                      ConfigErrors &errors);

// Checks every table of the documents against the sections: unknown sections and keys, missing
// keys, wrong types, values out of bounds, single tables given twice. Adds each problem to `errors`
// and returns the valid tables. They refer to the documents, which must outlive them.
std::vector<CheckedTable> checkDocuments(std::span<const Document> documents,
                                         std::span<const Section> sections, ConfigErrors &errors);

// Parses a time span such as "250ms", "2s", "5m" or "1h".
std::optional<Duration> parseSpan(std::string_view text);

// Parses a SHA-256 digest of 64 hexadecimal digits.
std::optional<Sha256> parseDigest(std::string_view text);

// True for "IPv4:port" and "[IPv6]:port" with a port of 1 to 65535.
bool isAddress(std::string_view text);

} // namespace fordwood::config

#endif // FORDWOOD_CONFIG_DOCUMENT_HPP_INCLUDED
