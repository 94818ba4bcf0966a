// SPDX-License-Identifier: MIT
#include "fordwood/config_delta.hpp"

#include <algorithm>
#include <map>

namespace fordwood {

namespace {

PieceSplice makeSplice(const std::string &before, const StoredPiece &after)
{
    PieceSplice splice;
    splice.name = after.name;
    splice.sha256 = after.sha256;
    const std::size_t shorter = std::min(before.size(), after.text.size());
    while (splice.prefixLength < shorter
           && before[splice.prefixLength] == after.text[splice.prefixLength])
        ++splice.prefixLength;
    while (splice.suffixLength < shorter - splice.prefixLength
           && before[before.size() - 1 - splice.suffixLength]
                  == after.text[after.text.size() - 1 - splice.suffixLength])
        ++splice.suffixLength;
    splice.middle = after.text.substr(splice.prefixLength, after.text.size() - splice.prefixLength
                                                               - splice.suffixLength);
    return splice;
}

} // namespace

ConfigDelta makeDelta(const std::vector<StoredPiece> &before, const std::string &fromManifestSha256,
                      const std::vector<StoredPiece> &after)
{
    ConfigDelta delta;
    delta.fromManifestSha256 = fromManifestSha256;
    std::map<std::string, const StoredPiece *> old;
    for (const StoredPiece &it : before)
        old[it.name] = &it;
    for (const StoredPiece &it : after) {
        const auto known = old.find(it.name);
        if (known == old.end()) {
            delta.splices.push_back({it.name, 0, 0, it.text, it.sha256});
            continue;
        }
        if (known->second->sha256 != it.sha256)
            delta.splices.push_back(makeSplice(known->second->text, it));
        old.erase(known);
    }
    for (const auto &[name, piece] : old)
        delta.removed.push_back(name);
    return delta;
}

std::optional<std::vector<StoredPiece>>
applyDelta(const std::vector<StoredPiece> &before, const ConfigDelta &delta,
           const std::function<std::string(const std::string &)> &digest)
{
    std::map<std::string, StoredPiece> pieces;
    for (const StoredPiece &it : before)
        pieces[it.name] = it;
    for (const std::string &it : delta.removed) {
        if (pieces.erase(it) == 0)
            return std::nullopt;
    }
    for (const PieceSplice &it : delta.splices) {
        StoredPiece &piece = pieces[it.name];
        const std::string old = std::move(piece.text);
        if (it.prefixLength > old.size() || it.suffixLength > old.size() - it.prefixLength)
            return std::nullopt;
        piece.name = it.name;
        piece.sha256 = it.sha256;
        piece.text
            = old.substr(0, it.prefixLength) + it.middle + old.substr(old.size() - it.suffixLength);
        if (digest(piece.text) != it.sha256)
            return std::nullopt;
    }
    std::vector<StoredPiece> result;
    result.reserve(pieces.size());
    for (auto &[name, piece] : pieces)
        result.push_back(std::move(piece));
    return result;
}

} // namespace fordwood
