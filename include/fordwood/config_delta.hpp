// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONFIG_DELTA_HPP_INCLUDED
#define FORDWOOD_CONFIG_DELTA_HPP_INCLUDED

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fordwood {

// An immutable part of a configuration, stored under the digest of its text.
struct StoredPiece
{
    std::string name;
    std::string sha256;
    std::string text;
};

// The change from the previous piece of the same name: a prefix and a suffix are kept, the bytes
// between them are replaced.
struct PieceSplice
{
    std::string name;
    std::size_t prefixLength = 0; // bytes
    std::size_t suffixLength = 0; // bytes
    std::string middle;
    std::string sha256; // of the result
};

// The change from one configuration to the next. A change of one table takes a few hundred bytes,
// whatever the size of the configuration.
struct ConfigDelta
{
    std::string fromManifestSha256;
    std::vector<PieceSplice> splices;
    std::vector<std::string> removed; // names of pieces
};

// The change between two lists of pieces. The result of applyDelta() is sorted by name.
ConfigDelta makeDelta(const std::vector<StoredPiece> &before, const std::string &fromManifestSha256,
                      const std::vector<StoredPiece> &after);

// Applies a change. Empty when it does not fit the pieces or a digest does not match.
std::optional<std::vector<StoredPiece>>
applyDelta(const std::vector<StoredPiece> &before, const ConfigDelta &delta,
           const std::function<std::string(const std::string &)> &digest);

} // namespace fordwood

#endif // FORDWOOD_CONFIG_DELTA_HPP_INCLUDED
