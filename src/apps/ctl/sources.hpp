// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_CTL_SOURCES_HPP_INCLUDED
#define FORDWOOD_APPS_CTL_SOURCES_HPP_INCLUDED

#include <string>
#include <vector>

#include "config/config_error.hpp"
#include "config/read_configuration.hpp"
#include "fordwood/submission.hpp"

namespace fordwood::apps {

// A validated configuration and the files it was read from.
struct ConfigurationSource
{
    std::vector<config::Document> documents;
    Configuration configuration;
};

// Reads a file, or every .toml file in a folder and its subfolders. Returns nothing if it added any
// error.
std::optional<ConfigurationSource> readSource(const std::string &path,
                                              config::ConfigErrors &errors);

// The pieces in which the configuration is stored.
std::vector<StoredPiece> piecesOf(const ConfigurationSource &source);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CTL_SOURCES_HPP_INCLUDED
