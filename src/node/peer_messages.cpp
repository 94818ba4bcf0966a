// SPDX-License-Identifier: MIT
#include "node/peer_messages.hpp"

#include "node/cbor.hpp"

namespace fordwood::node {

namespace {

using Json = nlohmann::json;

} // namespace

std::string encodeGossip(const Gossip &message)
{
    Json loads = Json::object();
    for (const auto &[id, load] : message.loads)
        loads[id] = {load.running, load.tokensToCompute, load.tokensHeld};
    Json object{{"node", message.node},         {"replica", message.replicaAddress},
                {"revision", message.revision}, {"reachable", message.storeReachable},
                {"loads", std::move(loads)},    {"short", message.shortContextTokens}};
    if (!message.contextsSent.empty())
        object["contexts"] = message.contextsSent;
    if (message.strength > 0.0)
        object["strength"] = message.strength;
    if (message.isRelay)
        object["relay"] = true;
    if (message.followsContext)
        object["follows"] = true;
    if (message.leaving)
        object["leaving"] = true;
    if (message.lastOrder)
        object["ordered"] = message.lastOrder->count();
    if (!message.enginesLoading.empty())
        object["loading"] = message.enginesLoading;
    if (!message.weightsShown.empty())
        object["shown"] = message.weightsShown;
    for (const auto &[model, versions] : message.weightsNamed) {
        for (const auto &[version, age] : versions)
            object["named"][model].push_back({version, age.count()});
    }
    return encodeCbor(object);
}

std::optional<Gossip> decodeGossip(std::string_view bytes)
{
    return decodeCbor<Gossip>(bytes, [](const Json &object) {
        Gossip message;
        object.at("node").get_to(message.node);
        object.at("replica").get_to(message.replicaAddress);
        object.at("revision").get_to(message.revision);
        object.at("reachable").get_to(message.storeReachable);
        message.shortContextTokens = object.value("short", std::size_t{0});
        message.strength = object.value("strength", 0.0);
        message.isRelay = object.value("relay", false);
        message.followsContext = object.value("follows", false);
        message.leaving = object.value("leaving", false);
        for (const auto &[id, load] : object.at("loads").items())
            message.loads[id] = {load.at(0).get<std::size_t>(), load.at(1).get<std::size_t>(),
                                 load.at(2).get<std::size_t>()};
        if (object.contains("ordered"))
            message.lastOrder = std::chrono::milliseconds(object.at("ordered").get<std::int64_t>());
        if (object.contains("contexts"))
            object.at("contexts").get_to(message.contextsSent);
        if (object.contains("loading"))
            object.at("loading").get_to(message.enginesLoading);
        if (object.contains("shown"))
            object.at("shown").get_to(message.weightsShown);
        const Json named = object.value("named", Json::object());
        for (const auto &[model, versions] : named.items()) {
            for (const Json &it : versions)
                message.weightsNamed[model][it.at(0).get<std::uint64_t>()]
                    = std::chrono::milliseconds(it.at(1).get<std::int64_t>());
        }
        return message;
    });
}

std::string encodeReplicaPart(const ReplicaPart &part)
{
    Json items = Json::array();
    for (const StoredItem &it : part.changes.items) {
        Json item{it.key, it.revision, it.created};
        if (it.value)
            item.push_back(Json::binary({it.value->begin(), it.value->end()}));
        items.push_back(std::move(item));
    }
    return encodeCbor({{"since", part.changes.since},
                       {"revision", part.changes.revision},
                       {"doubt", part.mayBeExpiry},
                       {"items", std::move(items)}});
}

std::optional<ReplicaPart> decodeReplicaPart(std::string_view bytes)
{
    return decodeCbor<ReplicaPart>(bytes, [](const Json &object) {
        ReplicaPart part;
        object.at("since").get_to(part.changes.since);
        object.at("revision").get_to(part.changes.revision);
        object.at("doubt").get_to(part.mayBeExpiry);
        for (const Json &it : object.at("items")) {
            StoredItem item;
            it.at(0).get_to(item.key);
            it.at(1).get_to(item.revision);
            it.at(2).get_to(item.created);
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
    return encodeCbor({{"gossip", address.gossip},
                       {"replica", address.replica},
                       {"domain", address.failureDomain}});
}

std::optional<PeerAddress> decodePeerAddress(std::string_view bytes)
{
    return decodeCbor<PeerAddress>(bytes, [](const Json &object) {
        return PeerAddress{object.at("gossip").get<std::string>(),
                           object.at("replica").get<std::string>(),
                           object.value("domain", std::string())};
    });
}

} // namespace fordwood::node
