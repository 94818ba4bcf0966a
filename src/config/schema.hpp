// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONFIG_SCHEMA_HPP_INCLUDED
#define FORDWOOD_CONFIG_SCHEMA_HPP_INCLUDED

#include <span>
#include <string>
#include <string_view>

namespace fordwood::config {

enum class FieldType { Text, Address, Integer, Number, Flag, Span, TextList, DigestList };

// Describes one key. The bounds apply to numbers and, in seconds, to time spans.
struct Field
{
    std::string_view name;
    FieldType type;
    bool required;
    double min;
    double max;
    std::string_view defaultValue; // as shown in the reference page
    std::string_view description; // one sentence, with the unit
};

// Describes one table, or array of tables, of a TOML file.
struct Section
{
    std::string_view name;
    bool isArray;
    std::span<const Field> fields;
    std::string_view description;
};

// Returns the sections of the configuration that operators submit.
std::span<const Section> configurationSections();

// Returns the sections of the settings of an entry VM.
std::span<const Section> entrySettingsSections();

// Returns the sections of the settings of a node that runs as one process.
std::span<const Section> nodeSettingsSections();

// Generates the reference page of a set of sections in Markdown.
std::string referencePage(std::span<const Section> sections, std::string_view title,
                          std::string_view intro);

// Returns the name of a type for error messages and the reference page.
std::string_view typeName(FieldType type);

// Returns the candidate with the smallest edit distance to the word. Empty when the distance of
// every candidate exceeds both 2 and half the length of the word.
std::string closestMatch(std::string_view word, std::span<const std::string_view> candidates);

} // namespace fordwood::config

#endif // FORDWOOD_CONFIG_SCHEMA_HPP_INCLUDED
