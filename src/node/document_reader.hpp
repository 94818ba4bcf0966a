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

// Takes what stands in the platform's store, read and checked.
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
    // Upstreams have ended under the request, by their lives.
    virtual void onQuarantinedRequest(const RequestFingerprint &request,
                                      const std::vector<std::uint64_t> &instances)
        = 0;
};

// Reads the values of the platform's store. One that cannot be read is logged and counted. Of
// operators' documents the one before stays in force, also against an older configuration; an
// upstream whose record cannot be read is used no more, since another writer may have the key.
class DocumentReader
{
public:
    DocumentReader(adapters::Metrics &metrics, DocumentListener &listener)
        : m_metrics(metrics), m_listener(listener)
    { }

    // `mayBeExpiry`: a removal may be a lease that ran out while the store was away.
    void read(const StoredItem &item, bool mayBeExpiry);

    // The key by which a node's peers find it.
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
    // What was known under the announced id is no upstream to use.
    void endInstance(const std::string &announcedId, bool mayBeExpiry);
    void reject(const StoredItem &item, const std::string &problem);

    adapters::Metrics &m_metrics;
    DocumentListener &m_listener;
    std::uint64_t m_configVersion = 0;
    std::map<std::string, KnownInstance>
        m_instances; // the last one of each upstream, by announced id
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_DOCUMENT_READER_HPP_INCLUDED
