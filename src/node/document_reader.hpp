// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_DOCUMENT_READER_HPP_INCLUDED
#define FORDWOOD_NODE_DOCUMENT_READER_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "adapters/observe/metrics.hpp"
#include "fordwood/request_fingerprint.hpp"
#include "fordwood/serving_config.hpp"
#include "fordwood/store_replica.hpp"
#include "fordwood/upstream_record.hpp"
#include "node/peer_messages.hpp"

namespace fordwood::node {

// Receives the parsed and validated values of the platform's store.
class DocumentListener
{
public:
    virtual ~DocumentListener() = default;

    virtual void onConfiguration(ServingConfig config) = 0;
    virtual void onWeightVersion(const std::string &model, std::uint64_t version) = 0;
    virtual void onUpstreamRecord(UpstreamRecord record) = 0;
    virtual void onUpstreamRemoved(const std::string &instanceId, bool mayBeExpiry) = 0;
    virtual void onEvacuation(const std::string &failureDomain, bool isEvacuated) = 0;
    virtual void onNodeAddress(const std::string &node, const PeerAddress &address) = 0;
    virtual void onNodeRemoved(const std::string &node) = 0;
    // `instances`: the upstream instances that failed while they ran the request.
    virtual void onQuarantinedRequest(const RequestFingerprint &request,
                                      const std::vector<std::uint64_t> &instances)
        = 0;
};

// Parses the values of the platform's store. Logs and counts a value that cannot be parsed. An
// operator's document then stays in force as it was before, also if a configuration arrives that is
// older than the current one. An upstream whose record cannot be parsed is no longer used, since
// another writer may own the key now.
class DocumentReader
{
public:
    DocumentReader(adapters::Metrics &metrics, DocumentListener &listener)
        : m_metrics(metrics), m_listener(listener)
    { }

    // `mayBeExpiry`: a removal may be due to a lease that expired while the store was unreachable.
    void readAll(const std::vector<StoredItem> &items, bool mayBeExpiry);
    void read(const StoredItem &item, bool mayBeExpiry);

    // The store key under which peers find the node.
    static std::string nodeKey(const std::string &node);

private:
    struct KnownInstance
    {
        std::string instanceId;
        std::optional<WallTime> startedAt;
    };

    void readConfiguration(const StoredItem &item);
    void readWeights(const StoredItem &item);
    void readUpstream(const StoredItem &item, bool mayBeExpiry);
    void readEvacuation(const StoredItem &item);
    void readNode(const StoredItem &item);
    void readHeldRequest(const RequestFingerprint &request, const StoredItem &item);
    bool acceptRecord(const KnownInstance &known, const UpstreamRecord &record,
                      const StoredItem &item);
    // Reports the instance that is known under the announced id as removed.
    void endInstance(const std::string &announcedId, bool mayBeExpiry);
    void reject(const StoredItem &item, const std::string &problem);

    adapters::Metrics &m_metrics;
    DocumentListener &m_listener;
    std::uint64_t m_configVersion = 0;
    bool m_logsRecords = true; // each record of an upstream on its own
    std::map<std::string, KnownInstance>
        m_instances; // the latest of each upstream, by announced id
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_DOCUMENT_READER_HPP_INCLUDED
