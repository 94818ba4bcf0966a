// SPDX-License-Identifier: MIT
#include "node/document_reader.hpp"

#include "adapters/observe/event_log.hpp"
#include "node/quarantine_distributor.hpp"
#include "platform/documents.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

constexpr std::string_view kNodePrefix = "fordwood/nodes/";

// Of more items that are read together, only a summary is logged.
constexpr std::size_t kMaxLoggedItems = 100;

} // namespace

std::string DocumentReader::nodeKey(const std::string &node)
{
    return std::string(kNodePrefix) + node;
}

// A snapshot holds the records of all upstreams. A line for each would fill the log of every node
// that starts.
void DocumentReader::readAll(const std::vector<StoredItem> &items, bool mayBeExpiry)
{
    const std::size_t before = m_instances.size();
    m_logsRecords = items.size() <= kMaxLoggedItems;
    for (const StoredItem &it : items)
        read(it, mayBeExpiry);
    if (!m_logsRecords)
        logEvent(Event::UpstreamsRead, {{"items", items.size()},
                                        {"upstreams_before", before},
                                        {"upstreams", m_instances.size()}});
    m_logsRecords = true;
}

void DocumentReader::read(const StoredItem &item, bool mayBeExpiry)
{
    switch (platform::kindOf(item.key)) {
    case platform::DocumentKind::Configuration:
        readConfiguration(item);
        break;
    case platform::DocumentKind::WeightVersion:
        readWeights(item);
        break;
    case platform::DocumentKind::Upstream:
        readUpstream(item, mayBeExpiry);
        break;
    case platform::DocumentKind::Evacuation:
        readEvacuation(item);
        break;
    case platform::DocumentKind::Other:
        if (item.key.starts_with(kNodePrefix))
            readNode(item);
        else if (const auto request = QuarantineDistributor::parseKey(item.key))
            readHeldRequest(*request, item);
        break;
    }
}

void DocumentReader::reject(const StoredItem &item, const std::string &problem)
{
    logEvent(Event::StoredValueRefused,
             {{"key", item.key}, {"revision", item.revision}, {"error", problem}});
    m_metrics.count("fordwood_stored_values_refused_total");
}

void DocumentReader::readConfiguration(const StoredItem &item)
{
    if (!item.value)
        return; // operators replace a configuration and never remove it
    auto config = platform::readConfiguration(*item.value);
    if (!config) {
        reject(item, config.error().problem);
        return;
    }
    if (config->version < m_configVersion) {
        logEvent(Event::OlderHeadSeen, {{"version", config->version}, {"held", m_configVersion}});
        return;
    }
    m_configVersion = config->version;
    logEvent(Event::ConfigurationApplied, {{"version", config->version},
                                           {"revision", item.revision},
                                           {"routes", config->routes.size()},
                                           {"teams", config->teams.size()}});
    m_listener.onConfiguration(std::move(*config));
}

void DocumentReader::readWeights(const StoredItem &item)
{
    if (!item.value)
        return;
    const auto named = platform::readWeightVersion(*item.value);
    if (!named) {
        reject(item, named.error().problem);
        return;
    }
    logEvent(Event::WeightsNamed,
             {{"model", named->model}, {"weights", named->version}, {"revision", item.revision}});
    m_listener.onWeightVersion(named->model, named->version);
}

void DocumentReader::readUpstream(const StoredItem &item, bool mayBeExpiry)
{
    const std::string id = platform::announcedIdOf(item.key);
    if (!item.value) {
        logEvent(mayBeExpiry ? Event::UpstreamExpired : Event::UpstreamGone,
                 {{"upstream", id}, {"revision", item.revision}});
        endInstance(id, mayBeExpiry);
        return;
    }
    auto record = platform::readUpstream(item.key, *item.value);
    if (!record) {
        reject(item, record.error().problem);
        endInstance(id, false);
        return;
    }
    const auto known = m_instances.find(id);
    if (known != m_instances.end() && !acceptRecord(known->second, *record, item))
        return;
    m_instances[id] = {record->instanceId, record->startedAt};
    if (m_logsRecords || record->draining)
        logEvent(record->draining ? Event::UpstreamDraining : Event::UpstreamReady,
                 {{"upstream", record->instanceId},
                  {"service", record->service},
                  {"address", record->address},
                  {"software", record->softwareVersion},
                  {"cold_ms", record->coldFor.count()},
                  {"revision", item.revision}});
    m_listener.onUpstreamRecord(std::move(*record));
}

// Whether the record replaces what is known under its id. A write of an earlier instance may reach
// the store after the first write of the next one.
bool DocumentReader::acceptRecord(const KnownInstance &known, const UpstreamRecord &record,
                                  const StoredItem &item)
{
    if (known.startedAt && !record.startedAt) {
        reject(item, "has no start time of the upstream, although the previous record had one");
        endInstance(record.announcedId, false);
        return false;
    }
    if (record.startedAt < known.startedAt) {
        reject(item, "belongs to an earlier instance of the upstream");
        return false;
    }
    if (record.instanceId != known.instanceId) {
        logEvent(Event::UpstreamRestarted, {{"upstream", record.instanceId},
                                            {"before", known.instanceId},
                                            {"revision", item.revision}});
        m_listener.onUpstreamRemoved(known.instanceId, false);
    }
    return true;
}

void DocumentReader::endInstance(const std::string &announcedId, bool mayBeExpiry)
{
    const auto known = m_instances.find(announcedId);
    if (known == m_instances.end())
        return;
    m_listener.onUpstreamRemoved(known->second.instanceId, mayBeExpiry);
    if (!mayBeExpiry)
        m_instances.erase(known);
}

void DocumentReader::readEvacuation(const StoredItem &item)
{
    const std::string domain = platform::evacuatedDomainOf(item.key);
    const bool isEvacuated = item.value.has_value();
    logEvent(isEvacuated ? Event::EvacuationBegins : Event::EvacuationEnds,
             {{"failure_domain", domain}, {"revision", item.revision}});
    m_listener.onEvacuation(domain, isEvacuated);
}

void DocumentReader::readNode(const StoredItem &item)
{
    const std::string node = item.key.substr(kNodePrefix.size());
    if (!item.value) {
        m_listener.onNodeRemoved(node);
        return;
    }
    const auto address = decodePeerAddress(*item.value);
    if (address)
        m_listener.onNodeAddress(node, *address);
    else
        reject(item, "is not a valid node address");
}

// A removed key does not release the request: its lease may have expired while the store was
// unreachable, and each node ends the quarantine of a request by itself.
void DocumentReader::readHeldRequest(const RequestFingerprint &request, const StoredItem &item)
{
    if (!item.value)
        return;
    if (const auto instances = QuarantineDistributor::decodeInstances(*item.value))
        m_listener.onQuarantinedRequest(request, *instances);
    else
        reject(item, "is not a valid list of failed upstream instances");
}

} // namespace fordwood::node
