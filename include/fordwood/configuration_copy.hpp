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

// Content-addressed bytes.
struct Blob
{
    std::string sha256;
    std::string bytes;
};

// The configuration in effect on this node, and the parts of a newer one until it is complete. A
// configuration takes effect only when it is complete and matches the digests in its head, and
// never after a newer one. The caller decides where to get the parts from.
class ConfigurationCopy
{
public:
    explicit ConfigurationCopy(const HeadCodec &codec) : m_codec(codec) { }

    // The result of offering a head.
    enum class OfferResult {
        Older, // than the one in effect
        AlreadyKnown, // in effect, or pending, or older than the pending one
        Applied, // by its delta to the configuration that was in effect
        NeedsParts // see missing()
    };
    OfferResult offer(const ConfigHead &head);

    // The state after adding parts. Idle: nothing is pending, or its manifest is still missing.
    enum class Progress { Idle, NeedsParts, Applied, Damaged };
    Progress addBlobs(const std::vector<Blob> &blobs);

    // Digests of the parts to request next: the manifest, or the pieces once the manifest is known.
    struct Missing
    {
        std::vector<std::string> manifests;
        std::vector<std::string> pieces;
    };
    Missing missing() const;

    // The head in effect; its version is zero until there is one.
    const ConfigHead &head() const { return m_head; }
    const std::vector<StoredPiece> &pieces() const { return m_pieces; }

    // The version whose parts are being collected; zero when there is none.
    std::uint64_t pendingVersion() const { return m_pending ? m_pending->head.version : 0; }
    bool hasManifest() const { return m_pending && m_pending->pieces.has_value(); }

    // The manifest or piece of the configuration in effect with that digest; empty if there is
    // none.
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
    std::map<std::string, std::string> m_pendingTexts; // of pieces, by digest
};

} // namespace fordwood

#endif // FORDWOOD_CONFIGURATION_COPY_HPP_INCLUDED
