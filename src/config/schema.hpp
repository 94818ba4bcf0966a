// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONFIG_SCHEMA_HPP_INCLUDED
#define FORDWOOD_CONFIG_SCHEMA_HPP_INCLUDED

#include <span>
#include <string>
#include <string_view>

namespace fordwood::config {

enum class FieldType { Text, Address, Integer, Number, Flag, Span, TextList, DigestList };

// What one key may hold. The bounds are those of numbers and, in seconds, of spans.
struct Field
{
    std::string_view name;
    FieldType type;
    bool required;
    double min;
    double max;
    std::string_view defaultValue; // as shown in the reference
    std::string_view description; // one sentence with the unit
};

// One table, or array of tables, of a TOML text.
struct Section
{
    std::string_view name;
    bool isArray;
    std::span<const Field> fields;
    std::string_view description;
};

// The sections of an operators' configuration.
std::span<const Section> configurationSections();

// The sections of one process's settings.
std::span<const Section> entrySettingsSections();

// The sections of the settings of a node that runs as one process.
std::span<const Section> nodeSettingsSections();

// The reference page of a set of sections, in Markdown.
std::string referencePage(std::span<const Section> sections, std::string_view title,
                          std::string_view intro);

// What a type is called in messages and in the reference.
std::string_view typeName(FieldType type);

// The candidate that differs least from the word, or empty when all differ much.
std::string closestMatch(std::string_view word, std::span<const std::string_view> candidates);

} // namespace fordwood::config

#endif // FORDWOOD_CONFIG_SCHEMA_HPP_INCLUDED
