// SPDX-License-Identifier: MIT
#include "config/document.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <sstream>

namespace fordwood::config {

namespace {

// Checks the tables of one set of documents and collects the valid tables and the errors.
class SchemaChecker
{
public:
    SchemaChecker(std::span<const Section> sections, ConfigErrors &errors)
        : m_sections(sections), m_errors(errors)
    {
        for (const Section &it : sections)
            m_sectionNames.push_back(it.name);
    }

    void check(const Document &document)
    {
        m_file = document.file;
        for (const auto &[key, node] : document.table)
            checkSection(key.str(), node);
    }

    std::vector<CheckedTable> takeTables() { return std::move(m_tables); }

private:
    void addError(const toml::source_region &source, std::string field, std::string problem,
                  std::string expected)
    {
        m_errors.push_back({m_file, source.begin.line, source.begin.column, std::move(field),
                            std::move(problem), std::move(expected)});
    }

    static std::string suggestion(std::string_view word, std::span<const std::string_view> known)
    {
        const std::string best = closestMatch(word, known);
        return best.empty() ? "a known key" : "\"" + best + "\"?";
    }

    void checkSection(std::string_view name, const toml::node &node)
    {
        const auto section = std::find_if(m_sections.begin(), m_sections.end(),
                                          [&](const Section &it) { return it.name == name; });
        if (section == m_sections.end())
            return addError(node.source(), std::string(name), "unknown section",
                            "expected " + suggestion(name, m_sectionNames));
        if (!section->isArray)
            return checkSingle(*section, node);
        const toml::array *array = node.as_array();
        if (array == nullptr)
            return addError(node.source(), std::string(name), "is not an array of tables",
                            "expected [[" + std::string(name) + "]]");
        for (const toml::node &it : *array)
            checkTable(*section, it);
    }

    void checkSingle(const Section &section, const toml::node &node)
    {
        if (!m_singleSections.insert(section.name).second)
            return addError(node.source(), std::string(section.name), "is given twice",
                            "expected one [" + std::string(section.name) + "] in all files");
        checkTable(section, node);
    }

    void checkTable(const Section &section, const toml::node &node)
    {
        const toml::table *table = node.as_table();
        if (table == nullptr)
            return addError(node.source(), std::string(section.name), "is not a table",
                            "expected [" + std::string(section.name) + "]");
        const std::size_t errorsBefore = m_errors.size();
        std::vector<std::string_view> names;
        for (const Field &field : section.fields) {
            names.push_back(field.name);
            checkField(section, field, *table);
        }
        for (const auto &[key, value] : *table) {
            if (std::find(names.begin(), names.end(), key.str()) == names.end())
                addError(key.source(), fieldName(section, key.str()), "unknown key",
                         "expected " + suggestion(key.str(), names));
        }
        if (m_errors.size() == errorsBefore)
            m_tables.emplace_back(m_file, section, *table);
    }

    static std::string fieldName(const Section &section, std::string_view key)
    {
        return std::string(section.name) + "." + std::string(key);
    }

    void checkField(const Section &section, const Field &field, const toml::table &table)
    {
        const toml::node *node = table.get(field.name);
        const std::string name = fieldName(section, field.name);
        const std::string expected = "expected " + std::string(typeName(field.type));
        if (node == nullptr) {
            if (field.required)
                addError(table.source(), name, "is missing", expected);
            return;
        }
        const std::string problem = findProblem(field, *node);
        if (!problem.empty())
            addError(node->source(), name, problem, expected + boundsText(field));
    }

    static std::string boundsText(const Field &field)
    {
        if (field.type != FieldType::Integer && field.type != FieldType::Number
            && field.type != FieldType::Span)
            return "";
        std::ostringstream out;
        out.precision(15);
        const char *unit = field.type == FieldType::Span ? " s" : "";
        out << " from " << field.min << unit << " to " << field.max << unit;
        return out.str();
    }

    static std::string findBoundsProblem(const Field &field, double value)
    {
        if (std::isfinite(value) && value >= field.min && value <= field.max)
            return "";
        std::ostringstream out;
        out << "is " << value;
        return out.str();
    }

    static std::string findProblem(const Field &field, const toml::node &node)
    {
        std::string wrongType = "has the wrong type";
        switch (field.type) {
        case FieldType::Text:
        case FieldType::Address:
            return findTextProblem(field, node);
        case FieldType::Integer:
            return node.is_integer()
                       ? findBoundsProblem(field, static_cast<double>(node.as_integer()->get()))
                       : wrongType;
        case FieldType::Number:
            return node.is_number() ? findBoundsProblem(field, *node.value<double>()) : wrongType;
        case FieldType::Flag:
            return node.is_boolean() ? "" : wrongType;
        case FieldType::Span:
            return findSpanProblem(field, node);
        case FieldType::TextList:
        case FieldType::DigestList:
            return findListProblem(field, node);
        }
        return wrongType;
    }

    static std::string findTextProblem(const Field &field, const toml::node &node)
    {
        if (!node.is_string())
            return "has the wrong type";
        const std::string &text = node.as_string()->get();
        if (text.empty())
            return "is empty";
        if (field.type == FieldType::Address && !isAddress(text))
            return "is \"" + text + "\"";
        return "";
    }

    static std::string findSpanProblem(const Field &field, const toml::node &node)
    {
        if (!node.is_string())
            return "has the wrong type";
        const auto span = parseSpan(node.as_string()->get());
        if (!span)
            return "is \"" + node.as_string()->get() + "\"";
        return findBoundsProblem(field, std::chrono::duration<double>(*span).count());
    }

    static std::string findListProblem(const Field &field, const toml::node &node)
    {
        const toml::array *array = node.as_array();
        if (array == nullptr)
            return "has the wrong type";
        for (const toml::node &it : *array) {
            if (!it.is_string())
                return "contains a value that is not a text";
            const std::string &text = it.as_string()->get();
            if (field.type == FieldType::DigestList && !parseDigest(text))
                return "contains \"" + text + "\"";
        }
        return field.required && array->empty() ? "is empty" : "";
    }

    std::span<const Section> m_sections;
    ConfigErrors &m_errors;
    std::vector<std::string_view> m_sectionNames;
    std::set<std::string_view> m_singleSections;
    std::vector<CheckedTable> m_tables;
    std::string m_file;
};

} // namespace

std::string ConfigError::toString() const
{
    std::ostringstream out;
    out << file << ":" << line << ":" << column << ": ";
    if (!field.empty())
        out << field << ": ";
    out << problem;
    if (!expected.empty())
        out << ", " << expected;
    return out.str();
}

std::string CheckedTable::text(std::string_view key, std::string_view fallback) const
{
    return m_table->get(key) == nullptr ? std::string(fallback)
                                        : m_table->get(key)->value_or(std::string());
}

std::int64_t CheckedTable::integer(std::string_view key, std::int64_t fallback) const
{
    return m_table->get(key) == nullptr ? fallback : m_table->get(key)->value_or(fallback);
}

double CheckedTable::number(std::string_view key, double fallback) const
{
    return m_table->get(key) == nullptr ? fallback : m_table->get(key)->value_or(fallback);
}

bool CheckedTable::flag(std::string_view key, bool fallback) const
{
    return m_table->get(key) == nullptr ? fallback : m_table->get(key)->value_or(fallback);
}

Duration CheckedTable::span(std::string_view key, Duration fallback) const
{
    return m_table->get(key) == nullptr ? fallback : parseSpan(text(key)).value_or(fallback);
}

std::vector<std::string> CheckedTable::textList(std::string_view key) const
{
    std::vector<std::string> result;
    const toml::node *node = m_table->get(key);
    if (node == nullptr)
        return result;
    for (const toml::node &it : *node->as_array())
        result.push_back(it.value_or(std::string()));
    return result;
}

ConfigError CheckedTable::error(std::string_view key, std::string problem,
                                std::string expected) const
{
    const toml::node *node = m_table->get(key);
    const toml::source_region &source = node == nullptr ? m_table->source() : node->source();
    return {m_file,
            source.begin.line,
            source.begin.column,
            std::string(m_section->name) + "." + std::string(key),
            std::move(problem),
            std::move(expected)};
}

std::optional<Document> parseDocument(const std::string &file, std::string_view text,
                                      ConfigErrors &errors)
{
    try {
        return Document{file, toml::parse(text, file)};
    } catch (const toml::parse_error &ec) {
        errors.push_back({file, ec.source().begin.line, ec.source().begin.column, "",
                          std::string(ec.description()), "expected valid TOML"});
        return std::nullopt;
    }
}

std::vector<CheckedTable> checkDocuments(std::span<const Document> documents,
                                         std::span<const Section> sections, ConfigErrors &errors)
{
    SchemaChecker checker(sections, errors);
    for (const Document &it : documents)
        checker.check(it);
    return checker.takeTables();
}

std::optional<Duration> parseSpan(std::string_view text)
{
    double value = 0;
    const char *end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc() || !std::isfinite(value) || value < 0 || value > 1e9)
        return std::nullopt;
    const std::string_view unit(rest, static_cast<std::size_t>(end - rest));
    double seconds = 0;
    if (unit == "ms")
        seconds = value / 1000;
    else if (unit == "s")
        seconds = value;
    else if (unit == "m")
        seconds = value * 60;
    else if (unit == "h")
        seconds = value * 3600;
    else
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::optional<Sha256> parseDigest(std::string_view text)
{
    Sha256 digest{};
    if (text.size() != digest.size() * 2)
        return std::nullopt;
    for (std::size_t it = 0; it < digest.size(); ++it) {
        const char *begin = text.data() + it * 2;
        const auto [rest, ec] = std::from_chars(begin, begin + 2, digest[it], 16);
        if (ec != std::errc() || rest != begin + 2)
            return std::nullopt;
    }
    return digest;
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    unsigned port = 0;
    const char *end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data() + colon + 1, end, port);
    if (ec != std::errc() || rest != end || port < 1 || port > 65535)
        return false;
    std::string host(text.substr(0, colon));
    in_addr ipv4{};
    in6_addr ipv6{};
    if (inet_pton(AF_INET, host.c_str(), &ipv4) == 1)
        return true;
    if (host.size() < 2 || host.front() != '[' || host.back() != ']')
        return false;
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), &ipv6) == 1;
}

} // namespace fordwood::config
