// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONFIG_SETTINGS_TABLES_HPP_INCLUDED
#define FORDWOOD_CONFIG_SETTINGS_TABLES_HPP_INCLUDED

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/config_error.hpp"
#include "config/document.hpp"

namespace fordwood::config {

// The checked tables of a settings file, and the documents that they refer to.
struct SettingsTables
{
    std::vector<Document> documents;
    std::vector<CheckedTable> tables;
};

// Reads a settings file and checks it against its sections. Adds each problem to `errors`,
// including a missing section of `required` if there is no other error.
SettingsTables readSettingsTables(const std::string &path, std::span<const Section> sections,
                                  std::initializer_list<std::string_view> required,
                                  ConfigErrors &errors);

} // namespace fordwood::config

#endif // FORDWOOD_CONFIG_SETTINGS_TABLES_HPP_INCLUDED
