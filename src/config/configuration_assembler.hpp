// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONFIG_CONFIGURATION_ASSEMBLER_HPP_INCLUDED
#define FORDWOOD_CONFIG_CONFIGURATION_ASSEMBLER_HPP_INCLUDED

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/config_error.hpp"
#include "fordwood/config_delta.hpp"
#include "fordwood/configuration.hpp"

namespace fordwood::config {

// Assembles a Configuration from stored pieces. Parses only pieces that have changed since the last
// call, so that a change of one table is cheap even in a large configuration. Does not check
// references between tables: they were checked when the configuration was submitted.
class ConfigurationAssembler
{
public:
    // Returns null and adds to `errors` when a piece cannot be parsed; the state for the next call
    // and the configuration assembled before are then unchanged.
    std::shared_ptr<const Configuration> assemble(const std::vector<StoredPiece> &pieces,
                                                  ConfigErrors &errors);

private:
    struct ParsedPiece
    {
        std::string sha256;
        std::shared_ptr<const Configuration> content;
    };

    std::map<std::string, ParsedPiece> m_pieces; // by piece name
    std::shared_ptr<const Configuration> m_configuration;
};

} // namespace fordwood::config

#endif // FORDWOOD_CONFIG_CONFIGURATION_ASSEMBLER_HPP_INCLUDED
