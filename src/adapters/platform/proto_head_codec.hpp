// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_PLATFORM_PROTO_HEAD_CODEC_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_PLATFORM_PROTO_HEAD_CODEC_HPP_INCLUDED

#include "fordwood/configuration.pb.h"
#include "fordwood/submission.hpp"

namespace fordwood::adapters {

// Encodes heads and manifests as Protocol Buffers messages.
class ProtoHeadCodec : public HeadCodec
{
public:
    std::string encodeHead(const ConfigHead &head) const override;
    std::optional<ConfigHead> decodeHead(const std::string &bytes) const override;
    std::string encodeManifest(const std::vector<StoredPiece> &pieces) const override;
    std::optional<std::vector<StoredPiece>> decodeManifest(const std::string &bytes) const override;
    std::string digest(const std::string &bytes) const override;
};

// Converts between the core types and the wire messages.
wire::Head toWire(const ConfigHead &head);
ConfigHead fromWire(const wire::Head &message);

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_PLATFORM_PROTO_HEAD_CODEC_HPP_INCLUDED
