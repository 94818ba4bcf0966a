// SPDX-License-Identifier: MIT
#include "support/replica_fleet.hpp"

#include <algorithm>

#include "adapters/grpc/peer_codec.hpp"

namespace fordwood::support {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(100);
constexpr Duration kListPeriod = std::chrono::seconds(1);
constexpr std::uint64_t kFrameBytes = 14; // HTTP/2 and gRPC framing of each message

} // namespace

ReplicaFleet::ReplicaFleet(int nodes, int domains, std::uint64_t seed) : m_random(seed)
{
    m_list.revision = 0;
    for (int it = 0; it < nodes; ++it) {
        Node node;
        const std::string number = std::to_string(10'000 + it);
        node.member = {"node-" + number, "domain-" + std::to_string(it % domains), "region",
                       "127.0.0.1:" + number, false};
        m_indices[node.member.name] = it;
        m_list.entryVms.push_back(node.member);
        m_nodes.push_back(std::move(node));
    }
    publishList();
    for (int it = 0; it < nodes; ++it)
        restart(it);
}

std::uint64_t ReplicaFleet::submit(const std::map<std::string, std::string> &pieces)
{
    Submission submission;
    submission.id = "submission-" + std::to_string(++m_submissions);
    for (const auto &[name, text] : pieces)
        submission.pieces.push_back({name, codec.digest(text), text});
    Submitter submitter(store, codec, clock, [this](Duration time) { clock.advance(time); });
    const SubmissionResult result = submitter.submit(submission, std::chrono::seconds(2));
    if (result.outcome != SubmissionOutcome::Accepted)
        return 0;
    m_acceptedHeads.push_back(*codec.decodeHead(store.values.at(headKey()).value));
    return result.version;
}

void ReplicaFleet::run(Duration time)
{
    for (Duration passed{0}; passed < time; passed += kStep)
        step();
}

bool ReplicaFleet::runUntilServed(std::uint64_t wanted, Duration limit, Duration *took)
{
    const TimePoint begin = clock.now();
    while (true) {
        const bool all = std::all_of(m_nodes.begin(), m_nodes.end(), [&](const Node &it) {
            return !it.replicator || it.served >= wanted;
        });
        if (took != nullptr)
            *took = clock.now() - begin;
        if (all || clock.now() - begin > limit)
            return all;
        step();
    }
}

void ReplicaFleet::stop(int index)
{
    Node &node = m_nodes[static_cast<std::size_t>(index)];
    if (node.replicator)
        node.replicator->stop();
}

void ReplicaFleet::kill(int index)
{
    Node &node = m_nodes[static_cast<std::size_t>(index)];
    // Its links break immediately, even if it is restarted before the next step.
    for (auto it = m_linked.begin(); it != m_linked.end();) {
        const bool first = it->first == node.member.name;
        if (!first && it->second != node.member.name) {
            ++it;
            continue;
        }
        Node *other = find(first ? it->second : it->first);
        if (other->replicator)
            other->replicator->linkDown(node.member.name);
        it = m_linked.erase(it);
    }
    node.replicator = nullptr;
    node.dialledPeers.clear();
    node.reading = false;
    node.served = 0;
    node.firstServed = 0;
    node.pieces.clear();
}

void ReplicaFleet::restart(int index)
{
    kill(index);
    Node &node = m_nodes[static_cast<std::size_t>(index)];
    node.paused = false;
    node.replicator = std::make_unique<Replicator>(node.member, node.boot = ++m_boots, clock, codec,
                                                   ReplicatorTimings{}, m_random());
    if (m_useSeeds) {
        for (const Node &it : m_nodes) {
            if (it.member.name != node.member.name && it.replicator && node.dialledPeers.size() < 2)
                node.dialledPeers.insert(it.member.name);
        }
    }
    node.replicator->start();
    executeActions(node);
}

void ReplicaFleet::setPaused(int node, bool paused)
{
    m_nodes[static_cast<std::size_t>(node)].paused = paused;
}

void ReplicaFleet::setDomainIsolated(const std::string &domain, bool isolated)
{
    if (isolated)
        m_isolatedDomains.insert(domain);
    else
        m_isolatedDomains.erase(domain);
}

void ReplicaFleet::setPlatformDown(bool down)
{
    m_platformDown = down;
    store.down = down;
}

void ReplicaFleet::restoreOldHead(std::uint64_t wanted)
{
    for (const ConfigHead &it : m_acceptedHeads) {
        if (it.version == wanted)
            store.values[headKey()].value = codec.encodeHead(it);
    }
}

void ReplicaFleet::setLeavingUpstream(const std::string &name, bool leaving)
{
    if (leaving)
        m_list.leavingUpstreams.insert(name);
    else
        m_list.leavingUpstreams.erase(name);
    publishList();
}

std::uint64_t ReplicaFleet::version(int node) const
{
    return m_nodes[static_cast<std::size_t>(node)].served;
}

std::uint64_t ReplicaFleet::firstServed(int node) const
{
    return m_nodes[static_cast<std::size_t>(node)].firstServed;
}

std::string ReplicaFleet::text(int node, const std::string &piece) const
{
    const auto &pieces = m_nodes[static_cast<std::size_t>(node)].pieces;
    const auto it = pieces.find(piece);
    return it == pieces.end() ? "" : it->second;
}

const Replicator &ReplicaFleet::replicator(int node) const
{
    return *m_nodes[static_cast<std::size_t>(node)].replicator;
}

int ReplicaFleet::relays() const
{
    return static_cast<int>(std::count_if(m_nodes.begin(), m_nodes.end(), [](const Node &it) {
        return it.replicator && it.replicator->isRelay();
    }));
}

void ReplicaFleet::resetCounters()
{
    m_messages = 0;
    m_bytes = 0;
    m_platformCalls = 0;
    for (Node &it : m_nodes)
        it.bytes = 0;
}

std::uint64_t ReplicaFleet::maxNodeBytes() const
{
    std::uint64_t result = 0;
    for (const Node &it : m_nodes)
        result = std::max(result, it.bytes);
    return result;
}

void ReplicaFleet::step()
{
    clock.advance(kStep);
    stepNow();
}

bool ReplicaFleet::canReach(int a, int b) const
{
    return reachable(m_nodes[static_cast<std::size_t>(a)], m_nodes[static_cast<std::size_t>(b)]);
}

bool ReplicaFleet::canReachPlatform(int node) const
{
    return platformReachable(m_nodes[static_cast<std::size_t>(node)]);
}

void ReplicaFleet::stepNow()
{
    updateLinks();
    deliver();
    for (Node &it : m_nodes) {
        if (!it.replicator || it.paused)
            continue;
        readPlatform(it);
        it.replicator->tick();
        executeActions(it);
    }
}

void ReplicaFleet::executeActions(Node &node)
{
    for (const ReplicatorAction &action : node.replicator->takeActions()) {
        if (const auto *update = std::get_if<SendUpdate>(&action)) {
            const std::uint64_t size
                = adapters::toWire(update->update).ByteSizeLong() + kFrameBytes;
            ++m_messages;
            m_bytes += size;
            node.bytes += size;
            m_inFlight.push_back({node.member.name, update->peer, update->update});
        } else if (const auto *links = std::get_if<SetOutgoingLinks>(&action)) {
            node.dialledPeers.clear();
            for (const Member &it : links->peers)
                node.dialledPeers.insert(it.name);
        } else if (const auto *reading = std::get_if<SetPlatformReading>(&action)) {
            node.reading = reading->enabled;
        } else if (const auto *fetch = std::get_if<FetchBlobs>(&action)) {
            if (!platformReachable(node))
                continue;
            ++m_platformCalls;
            std::vector<Blob> blobs;
            const auto add = [&](const std::string &key, const std::string &digest) {
                const auto it = store.values.find(key);
                if (it != store.values.end())
                    blobs.push_back({digest, it->second.value});
            };
            for (const std::string &it : fetch->manifests)
                add(manifestKey(it), it);
            for (const std::string &it : fetch->pieces)
                add(pieceKey(it), it);
            node.replicator->onPlatformBlobs(blobs);
            executeActions(node);
        } else if (const auto *applied = std::get_if<ApplyConfiguration>(&action)) {
            m_wentBack = m_wentBack || applied->head.version <= node.served;
            node.served = applied->head.version;
            if (node.firstServed == 0)
                node.firstServed = node.served;
            node.pieces.clear();
            for (const StoredPiece &it : applied->pieces)
                node.pieces[it.name] = it.text;
        } else if (std::holds_alternative<ReplicatorAlarm>(action)) {
            ++m_alarms;
        }
    }
}

// Opens links from live nodes to live, reachable peers, and closes all others.
void ReplicaFleet::updateLinks()
{
    std::set<Pair> wanted;
    for (const Node &node : m_nodes) {
        if (!node.replicator)
            continue;
        for (const std::string &it : node.dialledPeers) {
            const Node *peer = find(it);
            if (peer != nullptr && peer->replicator && reachable(node, *peer))
                wanted.emplace(node.member.name, it);
        }
    }
    const auto linked
        = [](const std::set<Pair> &pairs, const std::string &a, const std::string &b) {
              return pairs.count({a, b}) != 0 || pairs.count({b, a}) != 0;
          };
    const std::set<Pair> before = std::exchange(m_linked, wanted);
    for (const auto &[a, b] : before) {
        if (linked(m_linked, a, b))
            continue;
        for (const auto &[end, other] : {Pair{a, b}, Pair{b, a}}) {
            Node *node = find(end);
            if (node->replicator)
                node->replicator->linkDown(other);
        }
    }
    for (const auto &[a, b] : m_linked) {
        if (linked(before, a, b))
            continue;
        find(a)->replicator->linkUp(b);
        find(b)->replicator->linkUp(a);
    }
}

void ReplicaFleet::deliver()
{
    std::deque<Message> arriving = std::exchange(m_inFlight, {});
    for (Message &it : arriving) {
        Node *to = find(it.to);
        const bool linked
            = m_linked.count({it.from, it.to}) != 0 || m_linked.count({it.to, it.from}) != 0;
        if (to == nullptr || !to->replicator || !linked)
            continue;
        if (to->paused) {
            m_inFlight.push_back(std::move(it)); // remains in the socket
            continue;
        }
        to->replicator->updateArrived(it.from, it.update);
        executeActions(*to);
    }
}

void ReplicaFleet::readPlatform(Node &node)
{
    if (!node.reading || !platformReachable(node))
        return;
    const auto head = store.values.find(headKey());
    if (head != store.values.end()) {
        const auto decoded = codec.decodeHead(head->second.value);
        // A watch reports only changes, and only these count as calls.
        if (decoded->version != node.replicator->head().version) {
            ++m_platformCalls;
            node.replicator->onPlatformHead(*decoded);
        }
    }
    if (clock.now() >= node.nextListRead) {
        ++m_platformCalls;
        node.nextListRead = clock.now() + kListPeriod;
        node.replicator->onPlatformList(laggedList());
    }
}

bool ReplicaFleet::reachable(const Node &a, const Node &b) const
{
    const std::string &left = a.member.failureDomain;
    const std::string &right = b.member.failureDomain;
    return left == right
           || (m_isolatedDomains.count(left) == 0 && m_isolatedDomains.count(right) == 0);
}

bool ReplicaFleet::platformReachable(const Node &node) const
{
    return !m_platformDown && m_isolatedDomains.count(node.member.failureDomain) == 0;
}

VmList ReplicaFleet::laggedList() const
{
    const VmList *list = &m_lists.front().second;
    for (const auto &[time, it] : m_lists) {
        if (time + m_listLag <= clock.now())
            list = &it;
    }
    return *list;
}

void ReplicaFleet::publishList()
{
    ++m_list.revision;
    m_lists.emplace_back(clock.now(), m_list);
}

ReplicaFleet::Node *ReplicaFleet::find(const std::string &name)
{
    const auto it = m_indices.find(name);
    return it == m_indices.end() ? nullptr : &m_nodes[static_cast<std::size_t>(it->second)];
}

} // namespace fordwood::support
