// SPDX-License-Identifier: MIT
#include "fordwood/configuration_copy.hpp"

#include <utility>

namespace fordwood {

namespace {

constexpr std::size_t kMostWants = 64; // digests asked for in one update

} // namespace

ConfigurationCopy::Offer ConfigurationCopy::offer(const ConfigHead &head)
{
    if (head.version < m_head.version)
        return Offer::Older;
    if (head.version == m_head.version || collecting() >= head.version)
        return Offer::Known;
    if (applyChange(head))
        return Offer::InForce;
    m_next = Next{head, std::nullopt};
    return Offer::NeedsParts;
}

bool ConfigurationCopy::applyChange(const ConfigHead &head)
{
    if (!head.delta || head.delta->fromManifestSha256 != m_head.manifestSha256)
        return false;
    auto pieces = applyDelta(m_pieces, *head.delta,
                             [this](const std::string &bytes) { return m_codec.digest(bytes); });
    if (!pieces || m_codec.digest(m_codec.encodeManifest(*pieces)) != head.manifestSha256)
        return false;
    putInForce(head, std::move(*pieces));
    return true;
}

ConfigurationCopy::Progress ConfigurationCopy::take(const std::vector<Blob> &blobs)
{
    for (const Blob &it : blobs) {
        if (!m_next || m_codec.digest(it.bytes) != it.sha256)
            continue;
        if (it.sha256 != m_next->head.manifestSha256) {
            m_texts[it.sha256] = it.bytes;
        } else if (!takeManifest(it)) {
            m_next.reset();
            return Progress::Damaged;
        }
    }
    if (!m_next || !m_next->pieces)
        return Progress::Idle;
    return complete() ? Progress::InForce : Progress::NeedsParts;
}

bool ConfigurationCopy::takeManifest(const Blob &blob)
{
    m_next->pieces = m_codec.decodeManifest(blob.bytes);
    if (!m_next->pieces)
        return false;
    // Pieces that did not change need not be asked for.
    for (const StoredPiece &it : m_pieces)
        m_texts[it.sha256] = it.text;
    return true;
}

bool ConfigurationCopy::complete()
{
    for (StoredPiece &it : *m_next->pieces) {
        const auto text = m_texts.find(it.sha256);
        if (text == m_texts.end())
            return false;
        it.text = text->second;
    }
    ConfigHead head = std::move(m_next->head);
    std::vector<StoredPiece> pieces = std::move(*m_next->pieces);
    m_next.reset();
    putInForce(std::move(head), std::move(pieces));
    return true;
}

void ConfigurationCopy::putInForce(ConfigHead head, std::vector<StoredPiece> pieces)
{
    m_head = std::move(head);
    m_pieces = std::move(pieces);
    m_manifest = m_codec.encodeManifest(m_pieces);
    m_texts.clear();
    if (collecting() <= m_head.version)
        m_next.reset();
}

ConfigurationCopy::Missing ConfigurationCopy::missing() const
{
    Missing missing;
    if (!m_next)
        return missing;
    if (!m_next->pieces) {
        missing.manifests.push_back(m_next->head.manifestSha256);
        return missing;
    }
    for (const StoredPiece &it : *m_next->pieces) {
        if (m_texts.count(it.sha256) == 0 && missing.pieces.size() < kMostWants)
            missing.pieces.push_back(it.sha256);
    }
    return missing;
}

std::optional<std::string> ConfigurationCopy::bytesOf(const std::string &sha256) const
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
