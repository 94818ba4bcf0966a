// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_CTL_SOURCES_HPP_INCLUDED
#define FORDWOOD_APPS_CTL_SOURCES_HPP_INCLUDED

#include <string>
#include <vector>

#include "config/config_error.hpp"
#include "config/read_configuration.hpp"
#include "fordwood/submission.hpp"

namespace fordwood::apps {

// A configuration read from files, checked.
struct ConfigurationSource
{
    std::vector<config::Document> documents;
    Configuration configuration;
};

// Reads a file, or every .toml file of a folder and the folders in it. Empty when any error was
// added.
std::optional<ConfigurationSource> readSource(const std::string &path,
                                              config::ConfigErrors &errors);

// The pieces that are stored for it.
std::vector<StoredPiece> piecesOf(const ConfigurationSource &source);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CTL_SOURCES_HPP_INCLUDED
