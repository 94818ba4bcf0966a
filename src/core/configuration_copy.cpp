// SPDX-License-Identifier: MIT
#include "fordwood/configuration_copy.hpp"

#include <utility>

namespace fordwood {

namespace {

constexpr std::size_t kMaxRequestedDigests = 64; // in one update

} // namespace

ConfigurationCopy::OfferResult ConfigurationCopy::offer(const ConfigHead &head)
{
    if (head.version < m_head.version)
        return OfferResult::Older;
    if (head.version == m_head.version || pendingVersion() >= head.version)
        return OfferResult::AlreadyKnown;
    if (applyDeltaOf(head))
        return OfferResult::Applied;
    m_pending = Pending{head, std::nullopt};
    return OfferResult::NeedsParts;
}

bool ConfigurationCopy::applyDeltaOf(const ConfigHead &head)
{
    if (!head.delta || head.delta->fromManifestSha256 != m_head.manifestSha256)
        return false;
    auto pieces = applyDelta(m_pieces, *head.delta,
                             [this](const std::string &bytes) { return m_codec.digest(bytes); });
    if (!pieces || m_codec.digest(m_codec.encodeManifest(*pieces)) != head.manifestSha256)
        return false;
    activate(head, std::move(*pieces));
    return true;
}

ConfigurationCopy::Progress ConfigurationCopy::addBlobs(const std::vector<Blob> &blobs)
{
    for (const Blob &it : blobs) {
        if (!m_pending || m_codec.digest(it.bytes) != it.sha256)
            continue;
        if (it.sha256 != m_pending->head.manifestSha256) {
            m_pendingTexts[it.sha256] = it.bytes;
        } else if (!setManifest(it)) {
            m_pending.reset();
            return Progress::Damaged;
        }
    }
    if (!m_pending || !m_pending->pieces)
        return Progress::Idle;
    return applyIfComplete() ? Progress::Applied : Progress::NeedsParts;
}

bool ConfigurationCopy::setManifest(const Blob &blob)
{
    m_pending->pieces = m_codec.decodeManifest(blob.bytes);
    if (!m_pending->pieces)
        return false;
    // Unchanged pieces need not be requested.
    for (const StoredPiece &it : m_pieces)
        m_pendingTexts[it.sha256] = it.text;
    return true;
}

bool ConfigurationCopy::applyIfComplete()
{
    for (StoredPiece &it : *m_pending->pieces) {
        const auto text = m_pendingTexts.find(it.sha256);
        if (text == m_pendingTexts.end())
            return false;
        it.text = text->second;
    }
    ConfigHead head = std::move(m_pending->head);
    std::vector<StoredPiece> pieces = std::move(*m_pending->pieces);
    m_pending.reset();
    activate(std::move(head), std::move(pieces));
    return true;
}

void ConfigurationCopy::activate(ConfigHead head, std::vector<StoredPiece> pieces)
{
    m_head = std::move(head);
    m_pieces = std::move(pieces);
    m_manifest = m_codec.encodeManifest(m_pieces);
    m_pendingTexts.clear();
    if (pendingVersion() <= m_head.version)
        m_pending.reset();
}

ConfigurationCopy::Missing ConfigurationCopy::missing() const
{
    Missing missing;
    if (!m_pending)
        return missing;
    if (!m_pending->pieces) {
        missing.manifests.push_back(m_pending->head.manifestSha256);
        return missing;
    }
    for (const StoredPiece &it : *m_pending->pieces) {
        if (m_pendingTexts.count(it.sha256) == 0 && missing.pieces.size() < kMaxRequestedDigests)
            missing.pieces.push_back(it.sha256);
    }
    return missing;
}

std::optional<std::string> ConfigurationCopy::findBytes(const std::string &sha256) const
{
    if (sha256 == m_head.manifestSha256 && m_head.version > 0)
        return m_manifest;
    for (const StoredPiece &it : m_pieces) {
        if (it.sha256 == sha256)
            return it.text;
    }
    return std::nullopt;
}

} // namespace fordwood
