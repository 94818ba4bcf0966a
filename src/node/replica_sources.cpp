// SPDX-License-Identifier: MIT
#include "node/replica_sources.hpp"

#include <algorithm>
#include <bit>
#include <utility>

#include "adapters/observe/event_log.hpp"
#include "fordwood/rendezvous.hpp"
#include "node/cbor.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;
using Json = nlohmann::json;

// The keys must outlive a loss of power of all nodes, since they are needed when these start again.
// A key of a node that is gone ends with its lease.
constexpr LeasedKey::Limits kSourceKeyLimits{std::chrono::minutes(10), std::chrono::minutes(3),
                                             std::chrono::seconds(5)};

// The store sends about this many items in a page.
constexpr std::size_t kPageItems = 500;

} // namespace

std::string encodeSource(const ReplicaSource &source)
{
    return encodeCbor({{"domain", source.failureDomain},
                       {"replica", source.address},
                       {"nodes", source.fleetSize}});
}

std::optional<ReplicaSource> decodeSource(std::string_view bytes)
{
    return decodeCbor<ReplicaSource>(bytes, [](const Json &object) {
        return ReplicaSource{{},
                             object.at("domain").get<std::string>(),
                             object.at("replica").get<std::string>(),
                             unsignedNumber(object.at("nodes"))};
    });
}

std::vector<ReplicaSource> sourcesIn(const std::vector<StoredItem> &items)
{
    std::vector<ReplicaSource> sources;
    for (const StoredItem &it : items) {
        if (!it.value || !it.key.starts_with(kSourcePrefix))
            continue;
        auto source = decodeSource(*it.value);
        if (!source) {
            logEvent(Event::StoredValueRefused, {{"key", it.key},
                                                 {"revision", it.revision},
                                                 {"error", "not a source of the store's content"}});
            continue;
        }
        source->node = it.key.substr(kSourcePrefix.size());
        sources.push_back(std::move(*source));
    }
    return sources;
}

std::vector<std::string> addressesInOrder(std::vector<ReplicaSource> sources,
                                          const std::string &node, const std::string &failureDomain)
{
    std::erase_if(sources, [&](const ReplicaSource &it) { return it.node == node; });
    const auto rank = [&, own = stableHash(node)](const ReplicaSource &it) {
        return std::pair(it.failureDomain == failureDomain,
                         rendezvousWeight(own, stableHash(it.node)));
    };
    std::sort(sources.begin(), sources.end(),
              [&](const auto &a, const auto &b) { return rank(a) > rank(b); });
    std::vector<std::string> addresses;
    addresses.reserve(sources.size());
    for (ReplicaSource &it : sources)
        addresses.push_back(std::move(it.address));
    return addresses;
}

SourceRegistration::SourceRegistration(const Clock &clock, StoreClient &store, ReplicaSource self)
    : m_self(std::move(self)),
      m_key(clock, store, std::string(kSourcePrefix) + m_self.node, kSourceKeyLimits)
{ }

void SourceRegistration::tick(bool isRelay, std::size_t nodes, std::size_t items)
{
    // A source stays one while keys come and go.
    const bool isSource = isRelay && (m_isSource || items > kPageItems);
    // Rounded up, so that the key is not written again for each node that starts.
    m_self.fleetSize = std::bit_ceil(nodes);
    m_key.setValue(isSource ? std::optional(encodeSource(m_self)) : std::nullopt);
    m_key.tick();
    if (std::exchange(m_isSource, isSource) != isSource)
        logEvent(Event::ReplicaSourceChanged, {{"source", isSource}, {"nodes", nodes}});
}

} // namespace fordwood::node
