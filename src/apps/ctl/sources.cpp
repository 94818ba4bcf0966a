// SPDX-License-Identifier: MIT
#include "apps/ctl/sources.hpp"

#include <algorithm>
#include <filesystem>

#include "config/settings.hpp"

namespace fordwood::apps {

namespace {

namespace fs = std::filesystem;

std::vector<std::string> listFiles(const std::string &path, config::ConfigErrors &errors)
{
    std::error_code ec;
    if (!fs::is_directory(path, ec))
        return {path};
    std::vector<std::string> files;
    for (fs::recursive_directory_iterator it(path, ec), end; !ec && it != end; it.increment(ec)) {
        if (it->is_regular_file() && it->path().extension() == ".toml")
            files.push_back(it->path().string());
    }
    if (ec)
        errors.push_back({path, 0, 0, "", "cannot be read: " + ec.message(), "expected a folder"});
    if (files.empty())
        errors.push_back({path, 0, 0, "", "holds no .toml file", "expected at least one"});
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

std::optional<ConfigurationSource> readSource(const std::string &path, config::ConfigErrors &errors)
{
    ConfigurationSource source;
    for (const std::string &file : listFiles(path, errors)) {
        const auto text = config::readFile(file, errors);
        if (!text)
            continue;
        if (auto document = config::parseDocument(file, *text, errors))
            source.documents.push_back(std::move(*document));
    }
    auto configuration = config::readConfiguration(source.documents, errors);
    if (!configuration || !errors.empty())
        return std::nullopt;
    source.configuration = std::move(*configuration);
    return source;
}

std::vector<StoredPiece> piecesOf(const ConfigurationSource &source)
{
    std::vector<StoredPiece> pieces;
    for (config::ConfigPiece &it : config::splitIntoPieces(source.documents)) {
        std::string digest = config::sha256Hex(it.text);
        pieces.push_back({std::move(it.name), std::move(digest), std::move(it.text)});
    }
    return pieces;
}

} // namespace fordwood::apps
