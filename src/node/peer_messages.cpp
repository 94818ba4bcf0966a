// SPDX-License-Identifier: MIT
#include "node/peer_messages.hpp"

#include <algorithm>

#include "fordwood/rendezvous.hpp"
#include "node/cbor.hpp"

namespace fordwood::node {

namespace {

using Json = nlohmann::json;

std::chrono::milliseconds decodeAge(const Json &number)
{
    constexpr std::int64_t kOldest = 86'400'000; // milliseconds; greater ages make no difference
    return std::chrono::milliseconds(std::clamp<std::int64_t>(signedNumber(number), 0, kOldest));
}

// Zero if it is missing.
std::uint64_t optionalUnsigned(const Json &object, const char *name)
{
    return object.contains(name) ? unsignedNumber(object.at(name)) : 0;
}

// A strength that is not a number has no place in an order of nodes.
double decodeStrength(const Json &object)
{
    constexpr double kMaxStrength = 1e9; // Mbit/s
    return object.contains("strength") ? boundedNumber(object.at("strength"), kMaxStrength) : 0.0;
}

using VersionsByEngine = decltype(OrderReport::observedVersions);

// One row per version: instance id, model, version, age. Older nodes use another format under
// another key.
Json encodeVersions(const VersionsByEngine &versions)
{
    Json list = Json::array();
    for (const auto &[id, models] : versions) {
        for (const auto &[model, weights] : models)
            list.push_back({id, model, weights.version, weights.age.count()});
    }
    return list;
}

VersionsByEngine decodeVersions(const Json &list)
{
    VersionsByEngine versions;
    for (const Json &row : list)
        versions[row.at(0).get<std::string>()][row.at(1).get<std::string>()]
            = {unsignedNumber(row.at(2)), decodeAge(row.at(3))};
    return versions;
}

Json encodeOrders(const OrderReport &report)
{
    Json object = Json::object();
    if (report.age.count() > 0)
        object["age"] = report.age.count();
    if (report.lastOrder)
        object["ordered"] = report.lastOrder->count();
    if (!report.enginesLoading.empty())
        object["loading"] = report.enginesLoading;
    if (!report.observedVersions.empty())
        object["seen"] = encodeVersions(report.observedVersions);
    return object;
}

OrderReport decodeOrders(const Json &object)
{
    OrderReport report;
    if (object.contains("age"))
        report.age = decodeAge(object.at("age"));
    if (object.contains("ordered"))
        report.lastOrder = decodeAge(object.at("ordered"));
    if (object.contains("loading"))
        object.at("loading").get_to(report.enginesLoading);
    if (object.contains("seen"))
        report.observedVersions = decodeVersions(object.at("seen"));
    return report;
}

// One row per update: the two halves of the request's fingerprint and, if there is one, the
// upstream instance that crashed during the request. `parts`: whether to encode the updates on
// parts of prompts, which older nodes do not know, or the others.
Json encodeQuarantineUpdates(const std::vector<QuarantineUpdate> &updates, bool parts)
{
    Json list = Json::array();
    for (const QuarantineUpdate &it : updates) {
        if (it.request.isPart != parts)
            continue;
        Json row{it.request.high, it.request.low};
        if (it.failedInstance)
            row.push_back(*it.failedInstance);
        list.push_back(std::move(row));
    }
    return list;
}

void decodeQuarantineUpdates(const Json &list, bool parts, std::vector<QuarantineUpdate> &updates)
{
    for (const Json &row : list) {
        QuarantineUpdate it{{unsignedNumber(row.at(0)), unsignedNumber(row.at(1)), parts}, {}};
        if (row.size() > 2)
            it.failedInstance = unsignedNumber(row.at(2));
        updates.push_back(it);
    }
}

// One row per limit: upstream, version, rate, age, then node and sequence number of each sender.
Json encodeLimits(const std::vector<LimitGossip> &limits)
{
    Json list = Json::array();
    for (const LimitGossip &it : limits) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(it.age);
        Json senders = Json::array();
        for (const SenderAnnouncement &sender : it.senders) {
            senders.push_back(sender.node);
            senders.push_back(sender.sequence);
        }
        list.push_back({it.upstream, it.version, it.perSecond, age.count(), std::move(senders)});
    }
    return list;
}

std::vector<LimitGossip> decodeLimits(const Json &list)
{
    constexpr std::int64_t kOldest = 3'600'000; // milliseconds; the age is only logged
    constexpr double kMaxRate = 1e9; // requests per second
    std::vector<LimitGossip> limits;
    for (const Json &row : list) {
        LimitGossip it;
        it.upstream = unsignedNumber(row.at(0));
        it.version = unsignedNumber(row.at(1));
        it.perSecond = boundedNumber(row.at(2), kMaxRate);
        it.age = std::chrono::milliseconds(
            std::clamp<std::int64_t>(signedNumber(row.at(3)), 0, kOldest));
        const Json &senders = row.at(4);
        for (std::size_t n = 0; n < senders.size(); n += 2)
            it.senders.push_back(
                {unsignedNumber(senders.at(n)), unsignedNumber(senders.at(n + 1))});
        limits.push_back(std::move(it));
    }
    return limits;
}

// Version and minimum age, followed by the maximum age and the previous version if known.
Json encodeNamingAge(std::uint64_t version, const NamingAge &age)
{
    Json row{version, age.min.count()};
    if (age.max && age.newestBefore) {
        row.push_back(age.max->count());
        row.push_back(*age.newestBefore);
    }
    return row;
}

NamingAge decodeNamingAge(const Json &row)
{
    NamingAge age;
    age.min = decodeAge(row.at(1));
    if (row.size() > 3) {
        age.max = decodeAge(row.at(2));
        age.newestBefore = unsignedNumber(row.at(3));
    }
    return age;
}

constexpr std::size_t kNumbersPerLoadRow = 4;

Json encodeLoad(const LoadReport &report)
{
    // One flat array with four numbers per row avoids an allocation per row when decoding.
    Json loads = Json::array();
    for (const auto &[upstream, load] : report.loads.rows()) {
        loads.push_back(upstream);
        loads.push_back(load.running);
        loads.push_back(load.tokensToCompute);
        loads.push_back(load.tokensHeld);
    }
    Json object{
        {"nodes", report.nodes}, {"at", std::move(loads)}, {"short", report.shortContextTokens}};
    if (!report.contextsSent.empty())
        object["contexts"] = report.contextsSent;
    return object;
}

LoadReport decodeLoad(const Json &object)
{
    LoadReport report;
    report.nodes = unsignedNumber(object.at("nodes"));
    const Json &numbers = object.at("at");
    std::vector<UpstreamLoads::Row> rows;
    rows.reserve(numbers.size() / kNumbersPerLoadRow);
    for (std::size_t n = 0; n < numbers.size(); n += kNumbersPerLoadRow)
        rows.push_back({unsignedNumber(numbers.at(n)),
                        {unsignedNumber(numbers.at(n + 1)), unsignedNumber(numbers.at(n + 2)),
                         unsignedNumber(numbers.at(n + 3))}});
    report.loads = UpstreamLoads(std::move(rows));
    report.shortContextTokens = unsignedNumber(object.at("short"));
    if (object.contains("contexts")) {
        for (const Json &it : object.at("contexts"))
            report.contextsSent.push_back(unsignedNumber(it));
    }
    return report;
}

// One flat array of hashes and numbers, for the same reason.
Json encodeNumbers(const ReportNumbers &numbers)
{
    Json list = Json::array();
    for (const auto &[node, number] : numbers) {
        list.push_back(node);
        list.push_back(number);
    }
    return list;
}

ReportNumbers decodeNumbers(const Json &list)
{
    ReportNumbers numbers;
    for (std::size_t n = 0; n < list.size(); n += 2)
        numbers.emplace_back(unsignedNumber(list.at(n)), unsignedNumber(list.at(n + 1)));
    return numbers;
}

// Nodes of an earlier version send the numbers by name.
ReportNumbers decodeNamedNumbers(const Json &object)
{
    ReportNumbers numbers;
    for (const auto &[node, number] : object.items())
        numbers.emplace_back(stableHash(node), unsignedNumber(number));
    return numbers;
}

// Values on the wire. Unknown values are decoded as LoadScope::Node.
constexpr std::uint64_t kDomainScope = 1;
constexpr std::uint64_t kFleetScope = 2;

std::uint64_t encodeScope(LoadScope scope)
{
    switch (scope) {
    case LoadScope::Node:
        return 0;
    case LoadScope::Domain:
        return kDomainScope;
    case LoadScope::Fleet:
        return kFleetScope;
    }
    return 0;
}

LoadScope decodeScope(std::uint64_t number)
{
    if (number == kDomainScope)
        return LoadScope::Domain;
    return number == kFleetScope ? LoadScope::Fleet : LoadScope::Node;
}

} // namespace

std::string encodeGossip(const Gossip &message)
{
    Json object{{"node", message.node},
                {"domain", message.failureDomain},
                {"gossip", message.gossipAddress},
                {"replica", message.replicaAddress},
                {"revision", message.version.revision},
                {"reachable", message.storeReachable},
                {"scope", encodeScope(message.scope)},
                {"load", encodeLoad(message.load)}};
    if (message.version.epoch > 0)
        object["epoch"] = message.version.epoch;
    if (message.reportNumber > 0)
        object["number"] = message.reportNumber;
    if (!message.reportNumbers.empty())
        object["included"] = encodeNumbers(message.reportNumbers);
    if (message.strength > 0.0)
        object["strength"] = message.strength;
    if (message.getsStoreChanges)
        object["hears"] = true;
    if (message.isRelay)
        object["relay"] = true;
    if (message.followsContext)
        object["follows"] = true;
    if (message.leaving)
        object["leaving"] = true;
    if (!message.orders.isEmpty())
        object["orders"] = encodeOrders(message.orders);
    for (const auto &[node, report] : message.forwardedOrders)
        object["heard"][node] = encodeOrders(report);
    for (const auto &[model, versions] : message.namingAges) {
        for (const auto &[version, age] : versions)
            object["named"][model].push_back(encodeNamingAge(version, age));
    }
    if (message.copyAge)
        object["whole"] = message.copyAge->count();
    if (message.forwardedCopyAge)
        object["heard_whole"] = message.forwardedCopyAge->count();
    if (Json list = encodeQuarantineUpdates(message.quarantineUpdates, false); !list.empty())
        object["requests"] = std::move(list);
    if (Json list = encodeQuarantineUpdates(message.quarantineUpdates, true); !list.empty())
        object["prompt_parts"] = std::move(list);
    if (!message.limits.empty())
        object["limits"] = encodeLimits(message.limits);
    if (!message.brittle.empty())
        object["brittle"] = encodeLimits(message.brittle);
    if (!message.draining.empty())
        object["draining"] = message.draining;
    return encodeCbor(object);
}

std::optional<Gossip> decodeGossip(std::string_view bytes)
{
    return decodeCbor<Gossip>(bytes, [](const Json &object) {
        Gossip message;
        object.at("node").get_to(message.node);
        object.at("domain").get_to(message.failureDomain);
        object.at("gossip").get_to(message.gossipAddress);
        object.at("replica").get_to(message.replicaAddress);
        message.version.revision = signedNumber(object.at("revision"));
        message.version.epoch = optionalUnsigned(object, "epoch");
        object.at("reachable").get_to(message.storeReachable);
        message.scope = decodeScope(unsignedNumber(object.at("scope")));
        message.load = decodeLoad(object.at("load"));
        message.reportNumber = optionalUnsigned(object, "number");
        if (object.contains("included"))
            message.reportNumbers = decodeNumbers(object.at("included"));
        else if (object.contains("numbers"))
            message.reportNumbers = decodeNamedNumbers(object.at("numbers"));
        message.strength = decodeStrength(object);
        message.getsStoreChanges = object.value("hears", false);
        message.isRelay = object.value("relay", false);
        message.followsContext = object.value("follows", false);
        message.leaving = object.value("leaving", false);
        if (object.contains("orders"))
            message.orders = decodeOrders(object.at("orders"));
        const Json forwarded = object.value("heard", Json::object());
        for (const auto &[node, report] : forwarded.items())
            message.forwardedOrders[node] = decodeOrders(report);
        const Json named = object.value("named", Json::object());
        for (const auto &[model, versions] : named.items()) {
            for (const Json &it : versions)
                message.namingAges[model][unsignedNumber(it.at(0))] = decodeNamingAge(it);
        }
        if (object.contains("whole"))
            message.copyAge = decodeAge(object.at("whole"));
        if (object.contains("heard_whole"))
            message.forwardedCopyAge = decodeAge(object.at("heard_whole"));
        if (object.contains("requests"))
            decodeQuarantineUpdates(object.at("requests"), false, message.quarantineUpdates);
        if (object.contains("prompt_parts"))
            decodeQuarantineUpdates(object.at("prompt_parts"), true, message.quarantineUpdates);
        if (object.contains("limits"))
            message.limits = decodeLimits(object.at("limits"));
        if (object.contains("brittle"))
            message.brittle = decodeLimits(object.at("brittle"));
        if (object.contains("draining"))
            object.at("draining").get_to(message.draining);
        return message;
    });
}

std::string encodeReplicaPart(const ReplicaPart &part)
{
    Json items = Json::array();
    for (const StoredItem &it : part.changes.items) {
        Json item{it.key, it.revision, it.createRevision};
        if (it.value)
            item.push_back(Json::binary({it.value->begin(), it.value->end()}));
        items.push_back(std::move(item));
    }
    return encodeCbor({{"since", part.changes.since},
                       {"revision", part.changes.revision},
                       {"epoch", part.changes.epoch},
                       {"doubt", part.mayBeExpiry},
                       {"items", std::move(items)}});
}

std::optional<ReplicaPart> decodeReplicaPart(std::string_view bytes)
{
    return decodeCbor<ReplicaPart>(bytes, [](const Json &object) {
        ReplicaPart part;
        part.changes.since = signedNumber(object.at("since"));
        part.changes.revision = signedNumber(object.at("revision"));
        part.changes.epoch = optionalUnsigned(object, "epoch");
        object.at("doubt").get_to(part.mayBeExpiry);
        for (const Json &it : object.at("items")) {
            StoredItem item;
            it.at(0).get_to(item.key);
            item.revision = signedNumber(it.at(1));
            item.createRevision = signedNumber(it.at(2));
            if (it.size() > 3) {
                const auto &value = it.at(3).get_binary();
                item.value.emplace(value.begin(), value.end());
            }
            part.changes.items.push_back(std::move(item));
        }
        return part;
    });
}

std::string encodePeerAddress(const PeerAddress &address)
{
    Json object{{"gossip", address.gossip},
                {"replica", address.replica},
                {"domain", address.failureDomain},
                {"strength", address.strength}};
    if (!address.placement.empty())
        object["placement"] = address.placement;
    if (!address.proxy.empty())
        object["proxy"] = address.proxy;
    return encodeCbor(object);
}

std::optional<PeerAddress> decodePeerAddress(std::string_view bytes)
{
    return decodeCbor<PeerAddress>(bytes, [](const Json &object) {
        return PeerAddress{
            object.at("gossip").get<std::string>(),   object.at("replica").get<std::string>(),
            object.value("domain", std::string()),    decodeStrength(object),
            object.value("placement", std::string()), object.value("proxy", std::string())};
    });
}

} // namespace fordwood::node
