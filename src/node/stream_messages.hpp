// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_STREAM_MESSAGES_HPP_INCLUDED
#define FORDWOOD_NODE_STREAM_MESSAGES_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fordwood/origin_search.hpp"
#include "fordwood/stream_origins.hpp"

namespace fordwood::node {

// Tells a peer where streams began.
struct StreamNotice
{
    struct Stream
    {
        StreamKey key = 0;
        std::chrono::milliseconds lifetime{0}; // how long to remember it
    };

    StreamOrigin origin;
    std::vector<Stream> streams;
};

// Asks a peer where a stream began.
struct StreamQuery
{
    std::uint64_t number = 0;
    StreamKey key = 0;
    std::string service; // where the stream would go on if its origin is unknown
    // The peer is to say whether the versions that it knows are all, as of the query's arrival.
    bool needsComplete = true;
};

// The answer to a query.
struct StreamReply
{
    std::uint64_t number = 0;
    OriginKnowledge knowledge;
};

using StreamMessage = std::variant<StreamNotice, StreamQuery, StreamReply>;

// Messages are encoded as CBOR, distinct from placement messages, with which they share a socket.
// The decoder returns nothing for other messages and for malformed ones.
std::string encodeStreamMessage(const StreamMessage &message);
std::optional<StreamMessage> decodeStreamMessage(std::string_view bytes);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_STREAM_MESSAGES_HPP_INCLUDED
