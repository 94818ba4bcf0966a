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

// Puts stored pieces together to a Configuration and parses only pieces that it has not seen
// before, so that a change of one table costs little however large the configuration is. References
// between tables were checked when the configuration was submitted and are not checked again.
class ConfigurationAssembler
{
public:
    // Null, with `errors` filled, when a piece cannot be read; what was assembled before stays
    // usable.
    std::shared_ptr<const Configuration> assemble(const std::vector<StoredPiece> &pieces,
                                                  ConfigErrors &errors);

private:
    struct ParsedPiece
    {
        std::string sha256;
        std::shared_ptr<const Configuration> content;
    };

    std::map<std::string, ParsedPiece> m_pieces; // by the names of pieces
    std::shared_ptr<const Configuration> m_configuration;
};

} // namespace fordwood::config

#endif // FORDWOOD_CONFIG_CONFIGURATION_ASSEMBLER_HPP_INCLUDED
