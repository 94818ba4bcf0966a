// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONFIGURATION_COPY_HPP_INCLUDED
#define FORDWOOD_CONFIGURATION_COPY_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/config_head.hpp"
#include "fordwood/submission.hpp"

namespace fordwood {

// Bytes named by their digest.
struct Blob
{
    std::string sha256;
    std::string bytes;
};

// The configuration that is in force on this node, and the parts of a newer one until it is whole.
// A configuration comes into force only whole, with the digests that its head names, and only after
// all older ones. Where the parts come from is not decided here.
class ConfigurationCopy
{
public:
    explicit ConfigurationCopy(const HeadCodec &codec) : m_codec(codec) { }

    // What became of a head that was offered.
    enum class OfferResult {
        Older, // than the one in force
        AlreadyKnown, // in force, or its parts are being collected already
        Applied, // its change fitted the configuration before it
        NeedsParts // missing() says which
    };
    OfferResult offer(const ConfigHead &head);

    // What became of parts that arrived.
    enum class Progress { Idle, NeedsParts, Applied, Damaged };
    Progress addBlobs(const std::vector<Blob> &blobs);

    // Digests of the parts that are needed next: the manifest, or, once that is there, pieces.
    struct Missing
    {
        std::vector<std::string> manifests;
        std::vector<std::string> pieces;
    };
    Missing missing() const;

    // The head in force; of version zero until there is one.
    const ConfigHead &head() const { return m_head; }
    const std::vector<StoredPiece> &pieces() const { return m_pieces; }

    // The version whose parts are being collected; zero when there is none.
    std::uint64_t pendingVersion() const { return m_pending ? m_pending->head.version : 0; }
    bool hasManifest() const { return m_pending && m_pending->pieces.has_value(); }

    // Bytes of the configuration in force, for others. Empty when there are none of that digest.
    std::optional<std::string> findBytes(const std::string &sha256) const;

private:
    struct Pending
    {
        ConfigHead head;
        std::optional<std::vector<StoredPiece>> pieces; // without texts
    };

    bool setManifest(const Blob &blob);
    bool applyIfComplete();
    bool applyDeltaOf(const ConfigHead &head);
    void activate(ConfigHead head, std::vector<StoredPiece> pieces);

    const HeadCodec &m_codec;
    ConfigHead m_head;
    std::vector<StoredPiece> m_pieces;
    std::string m_manifest; // encoded
    std::optional<Pending> m_pending;
    std::map<std::string, std::string> m_pendingTexts; // of the next one's pieces, by digest
};

} // namespace fordwood

#endif // FORDWOOD_CONFIGURATION_COPY_HPP_INCLUDED
