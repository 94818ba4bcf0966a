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

// Checks documents as one whole configuration: fields, then names that stand twice, then names that
// refer to nothing. Empty when any error was added.
std::optional<Configuration> readConfiguration(std::span<const Document> documents,
                                               ConfigErrors &errors);

// Checks documents as a part of a configuration: fields and names that stand twice, but no
// references to other parts. Empty when any error was added.
std::optional<Configuration> readTables(std::span<const Document> documents, ConfigErrors &errors);

// One part of a configuration: a canonical TOML text of a few tables of one section.
struct ConfigPiece
{
    std::string name;
    std::string text;
};

// Cuts checked documents into pieces. The same content gives the same pieces whatever the files,
// order and comments; a changed table changes one piece.
std::vector<ConfigPiece> splitIntoPieces(std::span<const Document> documents);

// SHA-256 of bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

// SHA-256 of bytes.
Sha256 sha256(std::string_view bytes);

} // namespace fordwood::config

#endif // FORDWOOD_CONFIG_READ_CONFIGURATION_HPP_INCLUDED
