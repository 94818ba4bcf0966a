// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_REPLICA_SOURCES_HPP_INCLUDED
#define FORDWOOD_NODE_REPLICA_SOURCES_HPP_INCLUDED

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fordwood/full_read_turn.hpp"
#include "fordwood/store_replica.hpp"
#include "node/leased_key.hpp"

// The nodes that name themselves in the platform's store as sources of its content.
namespace fordwood::node {

// The prefix of the sources' keys.
inline constexpr std::string_view kSourcePrefix = "fordwood/sources/";

std::string encodeSource(const ReplicaSource &source);
// Nothing if the bytes are not a source. The node's name is not part of them.
std::optional<ReplicaSource> decodeSource(std::string_view bytes);

// The sources among the items. Logs those that cannot be read.
std::vector<ReplicaSource> sourcesIn(const std::vector<StoredItem> &items);

// The addresses of the sources, in the order in which a node asks them: those in its failure domain
// first, and otherwise in an order that distributes the nodes over the sources. Leaves out the node
// itself.
std::vector<std::string> addressesInOrder(std::vector<ReplicaSource> sources,
                                          const std::string &node,
                                          const std::string &failureDomain);

// Names this node in the store while it is a source: a relay, and the store's content is more than
// a page. Less than that every node reads from the store as cheaply as it looks for sources.
class SourceRegistration
{
public:
    // `self`: its fleet size is not used.
    SourceRegistration(const Clock &clock, StoreClient &store, ReplicaSource self);

    // Call regularly. `nodes`: how many nodes this one knows, itself included. `items`: how many
    // keys the store has.
    void tick(bool isRelay, std::size_t nodes, std::size_t items);

private:
    ReplicaSource m_self;
    LeasedKey m_key;
    bool m_isSource = false;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_REPLICA_SOURCES_HPP_INCLUDED
