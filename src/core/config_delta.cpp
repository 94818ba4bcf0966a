// SPDX-License-Identifier: MIT
#include "fordwood/config_delta.hpp"

#include <algorithm>
#include <map>

namespace fordwood {

namespace {

PieceSplice spliceOf(const std::string &before, const StoredPiece &after)
{
    PieceSplice splice;
    splice.name = after.name;
    splice.sha256 = after.sha256;
    const std::size_t shorter = std::min(before.size(), after.text.size());
    while (splice.keepFront < shorter && before[splice.keepFront] == after.text[splice.keepFront])
        ++splice.keepFront;
    while (splice.keepBack < shorter - splice.keepFront
           && before[before.size() - 1 - splice.keepBack]
                  == after.text[after.text.size() - 1 - splice.keepBack])
        ++splice.keepBack;
    splice.middle = after.text.substr(splice.keepFront,
                                      after.text.size() - splice.keepFront - splice.keepBack);
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
            delta.splices.push_back(spliceOf(known->second->text, it));
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
        if (it.keepFront > old.size() || it.keepBack > old.size() - it.keepFront)
            return std::nullopt;
        piece.name = it.name;
        piece.sha256 = it.sha256;
        piece.text = old.substr(0, it.keepFront) + it.middle + old.substr(old.size() - it.keepBack);
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
