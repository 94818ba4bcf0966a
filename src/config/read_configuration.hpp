// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONFIG_READ_CONFIGURATION_HPP_INCLUDED
#define FORDWOOD_CONFIG_READ_CONFIGURATION_HPP_INCLUDED

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "config/config_error.hpp"
#include "config/document.hpp"
#include "fordwood/configuration.hpp"

namespace fordwood::config {

// Reads documents as a complete configuration. Checks the fields, then duplicate names, then
// references to undeclared names. Returns nothing when it adds an error.
std::optional<Configuration> readConfiguration(std::span<const Document> documents,
                                               ConfigErrors &errors);

// Reads documents as a part of a configuration. Checks the fields and duplicate names, but not
// references, which may lead to other parts. Returns nothing when it adds an error.
std::optional<Configuration> readTables(std::span<const Document> documents, ConfigErrors &errors);

// One piece of a configuration: canonical TOML text of a few tables of one section.
struct ConfigPiece
{
    std::string name;
    std::string text;
};

// Splits checked documents into pieces. The pieces depend only on the content, not on files, order
// or comments. A changed table changes one piece.
std::vector<ConfigPiece> splitIntoPieces(std::span<const Document> documents);

// Computes the SHA-256 digest of bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

// Computes the SHA-256 digest of bytes.
Sha256 sha256(std::string_view bytes);

} // namespace fordwood::config

#endif // FORDWOOD_CONFIG_READ_CONFIGURATION_HPP_INCLUDED
