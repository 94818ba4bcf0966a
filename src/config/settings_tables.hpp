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

// The checked tables of a settings file, and the texts that they point into.
struct SettingsTables
{
    std::vector<Document> documents;
    std::vector<CheckedTable> tables;
};

// Reads a settings file and checks it against its sections. What is wrong is added to `errors`,
// also a section of `required` that is missing.
SettingsTables readSettingsTables(const std::string &path, std::span<const Section> sections,
                                  std::initializer_list<std::string_view> required,
                                  ConfigErrors &errors);

} // namespace fordwood::config

#endif // FORDWOOD_CONFIG_SETTINGS_TABLES_HPP_INCLUDED
