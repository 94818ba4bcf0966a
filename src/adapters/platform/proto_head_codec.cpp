// SPDX-License-Identifier: MIT
#include "adapters/platform/proto_head_codec.hpp"

#include "config/read_configuration.hpp"

namespace fordwood::adapters {

namespace {

wire::Delta toWire(const ConfigDelta &delta)
{
    wire::Delta message;
    message.set_from_manifest_sha256(delta.fromManifestSha256);
    for (const PieceSplice &it : delta.splices) {
        wire::Splice *splice = message.add_splices();
        splice->set_name(it.name);
        splice->set_keep_front(it.prefixLength);
        splice->set_keep_back(it.suffixLength);
        splice->set_middle(it.middle);
        splice->set_sha256(it.sha256);
    }
    for (const std::string &it : delta.removed)
        message.add_removed(it);
    return message;
}

ConfigDelta fromWire(const wire::Delta &message)
{
    ConfigDelta delta;
    delta.fromManifestSha256 = message.from_manifest_sha256();
    for (const wire::Splice &it : message.splices())
        delta.splices.push_back(
            {it.name(), it.keep_front(), it.keep_back(), it.middle(), it.sha256()});
    delta.removed.assign(message.removed().begin(), message.removed().end());
    return delta;
}

} // namespace

wire::Head toWire(const ConfigHead &head)
{
    wire::Head message;
    message.set_version(head.version);
    message.set_base(head.base);
    message.set_manifest_sha256(head.manifestSha256);
    message.set_submission_id(head.submissionId);
    message.set_accepted_unix_ms(head.accepted.time_since_epoch().count());
    for (const std::string &it : head.recentSubmissionIds)
        message.add_recent_submission_ids(it);
    if (head.delta)
        *message.mutable_delta() = toWire(*head.delta);
    return message;
}

ConfigHead fromWire(const wire::Head &message)
{
    ConfigHead head;
    head.version = message.version();
    head.base = message.base();
    head.manifestSha256 = message.manifest_sha256();
    head.submissionId = message.submission_id();
    head.accepted = WallTime(std::chrono::milliseconds(message.accepted_unix_ms()));
    head.recentSubmissionIds.assign(message.recent_submission_ids().begin(),
                                    message.recent_submission_ids().end());
    if (message.has_delta())
        head.delta = fromWire(message.delta());
    return head;
}

std::string ProtoHeadCodec::encodeHead(const ConfigHead &head) const
{
    return toWire(head).SerializeAsString();
}

std::optional<ConfigHead> ProtoHeadCodec::decodeHead(const std::string &bytes) const
{
    wire::Head message;
    if (!message.ParseFromString(bytes) || message.version() == 0)
        return std::nullopt;
    return fromWire(message);
}

std::string ProtoHeadCodec::encodeManifest(const std::vector<StoredPiece> &pieces) const
{
    wire::Manifest message;
    for (const StoredPiece &it : pieces) {
        wire::PieceReference *piece = message.add_pieces();
        piece->set_name(it.name);
        piece->set_sha256(it.sha256);
    }
    return message.SerializeAsString();
}

std::optional<std::vector<StoredPiece>>
ProtoHeadCodec::decodeManifest(const std::string &bytes) const
{
    wire::Manifest message;
    if (!message.ParseFromString(bytes))
        return std::nullopt;
    std::vector<StoredPiece> pieces;
    for (const wire::PieceReference &it : message.pieces())
        pieces.push_back({it.name(), it.sha256(), {}});
    return pieces;
}

std::string ProtoHeadCodec::digest(const std::string &bytes) const
{
    return config::sha256Hex(bytes);
}

} // namespace fordwood::adapters
