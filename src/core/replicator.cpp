// SPDX-License-Identifier: MIT
#include "fordwood/replicator.hpp"

#include <algorithm>
#include <utility>

namespace fordwood {

namespace {

std::vector<std::string> namesOf(const std::vector<Member> &members)
{
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const Member &it : members)
        names.push_back(it.name);
    return names;
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

// The head as it is sent to peers. Submission ids are only kept in the platform.
ConfigHead withoutSubmissionIds(ConfigHead head)
{
    head.recentSubmissionIds.clear();
    return head;
}

} // namespace

Replicator::Replicator(Member self, std::uint64_t boot, const Clock &clock, const HeadCodec &codec,
                       ReplicatorTimings timings, std::uint64_t seed)
    : m_self(std::move(self)), m_clock(clock), m_timings(timings), m_random(seed),
      m_configuration(codec), m_members(m_self.name, boot), m_peers(clock)
{ }

void Replicator::start()
{
    m_started = m_clock.now();
    setPlatformReading(true);
}

// ---------------------------------------------------------------- configuration

void Replicator::onPlatformHead(const ConfigHead &head)
{
    if (mustWaitForPeers()) {
        m_deferredHead = head;
        return;
    }
    offerHead(head, "");
}

// A platform that was restored from an old copy returns an older version. A new node cannot detect
// that by itself, so it waits a short time for its peers to announce a newer version before it
// serves any.
bool Replicator::mustWaitForPeers() const
{
    const bool onlyMember = list().revision > 0 && members().size() <= 1;
    return head().version == 0 && !m_peerVersionSeen && !onlyMember
           && m_clock.now() - m_started < m_timings.peerVersionWait;
}

void Replicator::offerHead(const ConfigHead &offered, const std::string &from)
{
    switch (m_configuration.offer(offered)) {
    case ConfigurationCopy::OfferResult::Older:
        if (from.empty())
            m_actions.emplace_back(
                ReplicatorAlarm{ReplicatorAlarm::Kind::OlderHead, offered.version, head().version});
        break;
    case ConfigurationCopy::OfferResult::AlreadyKnown:
        break;
    case ConfigurationCopy::OfferResult::Applied:
        announceConfiguration();
        break;
    case ConfigurationCopy::OfferResult::NeedsParts:
        m_fetch = FetchState{from, m_clock.now(), 0};
        requestParts();
        break;
    }
}

// Requests the missing parts of the pending configuration: first from the peer that offered it,
// then from others in turn, and from the platform if this node reads it.
void Replicator::requestParts()
{
    m_fetch.requestedAt = m_clock.now();
    ConfigurationCopy::Missing missing = m_configuration.missing();
    if (missing.manifests.empty() && missing.pieces.empty())
        return;
    // Alternates between the platform and the peers, since either may not reply. Starts with the
    // source that offered the configuration.
    const std::size_t platformParity = m_fetch.from.empty() ? 0 : 1;
    const bool fromPlatform
        = m_readsPlatform && (m_peers.links().empty() || m_fetch.attempts % 2 == platformParity);
    ++m_fetch.attempts;
    if (fromPlatform) {
        m_actions.emplace_back(FetchBlobs{missing.manifests, missing.pieces});
        return;
    }
    const bool askOfferer = m_fetch.attempts == 1 && m_peers.has(m_fetch.from);
    const std::string peer = askOfferer ? m_fetch.from : m_peers.roundRobin(m_fetch.attempts);
    if (peer.empty())
        return;
    PeerUpdate update = baseUpdate();
    update.requestedDigests = missing.manifests.empty() ? missing.pieces : missing.manifests;
    send(peer, std::move(update));
}

void Replicator::onPlatformBlobs(const std::vector<Blob> &blobs)
{
    receiveBlobs(blobs);
}

void Replicator::receiveBlobs(const std::vector<Blob> &blobs)
{
    const std::uint64_t pendingVersion = m_configuration.pendingVersion();
    const bool hadManifest = m_configuration.hasManifest();
    const ConfigurationCopy::Progress progress = m_configuration.addBlobs(blobs);
    if (!hadManifest && m_configuration.hasManifest())
        m_fetch.attempts = 0;
    switch (progress) {
    case ConfigurationCopy::Progress::Idle:
        break;
    case ConfigurationCopy::Progress::NeedsParts:
        requestParts();
        break;
    case ConfigurationCopy::Progress::Applied:
        announceConfiguration();
        break;
    case ConfigurationCopy::Progress::Damaged:
        m_actions.emplace_back(ReplicatorAlarm{ReplicatorAlarm::Kind::DamagedConfiguration,
                                               pendingVersion, head().version});
        break;
    }
}

// Called when a newer configuration is in effect.
void Replicator::announceConfiguration()
{
    m_actions.emplace_back(ApplyConfiguration{head(), m_configuration.pieces()});
    announceHead();
}

// Announces the version on the links whose peers do not have it yet. First children and other
// relays receive the head with its delta, the others only the version.
void Replicator::announceHead()
{
    for (auto &[peer, link] : m_peers.links()) {
        if (link.headVersion >= head().version)
            continue;
        PeerUpdate update = baseUpdate();
        if (sendsWholeHeadTo(peer)) {
            link.headVersion = head().version;
            update.head = withoutSubmissionIds(head());
        }
        send(peer, std::move(update));
    }
}

bool Replicator::sendsWholeHeadTo(const std::string &peer) const
{
    if (contains(m_position.firstChildren, peer))
        return true;
    return !contains(m_position.children, peer) && !contains(m_position.parents, peer);
}

// Requests a newer version from a peer that announced it, unless the first parent sent it in the
// meantime.
void Replicator::requestNewerHead()
{
    if (!m_newerVersion)
        return;
    if (m_newerVersion->version <= head().version
        || m_configuration.pendingVersion() >= m_newerVersion->version) {
        m_newerVersion.reset();
        return;
    }
    if (m_clock.now() - m_newerVersion->since < m_timings.firstParentGrace)
        return;
    PeerUpdate update = baseUpdate();
    update.requestsHead = true;
    send(m_newerVersion->peer, std::move(update));
    m_newerVersion.reset();
}

// ---------------------------------------------------------------- VM list and members

void Replicator::onPlatformList(const VmList &list)
{
    offerList(list, "");
}

void Replicator::offerList(const VmList &offered, const std::string &from)
{
    const auto delta = m_members.update(offered);
    if (!delta)
        return;
    for (auto &[peer, link] : m_peers.links()) {
        if (peer == from || link.listRevision >= list().revision)
            continue;
        PeerUpdate update = baseUpdate();
        update.list
            = link.listRevision == delta->fromRevision ? *delta : makeDelta(VmList{}, list());
        link.listRevision = list().revision;
        send(peer, std::move(update));
    }
    updateMembers();
}

void Replicator::applyListDelta(const VmListDelta &delta, const std::string &from)
{
    if (delta.toRevision <= list().revision)
        return;
    const auto newer = applyDelta(list(), delta);
    if (newer)
        return offerList(*newer, from);
    PeerUpdate update = baseUpdate();
    update.requestsList = true;
    send(from, std::move(update));
}

void Replicator::mergeLiveness(const std::vector<LivenessRecord> &records, const std::string &from)
{
    const MemberTable::MergeResult result = m_members.update(records);
    if (result.isSelfSuspected && !m_stopping)
        sendLiveness({m_members.refuteSuspicion()}, "");
    m_membersChanged = m_membersChanged || result.membersChanged;
    if (!result.records.empty())
        sendLiveness(result.records, from);
}

// Forwards records on all links except the one that they came from.
void Replicator::sendLiveness(const std::vector<LivenessRecord> &records, const std::string &except)
{
    for (const auto &[peer, link] : m_peers.links()) {
        if (peer == except)
            continue;
        PeerUpdate update = baseUpdate();
        update.liveness = records;
        send(peer, std::move(update));
    }
}

void Replicator::suspect(const std::string &member)
{
    if (const auto record = m_members.makeSuspicion(member))
        mergeLiveness({*record}, "");
}

// Called after a change of members, suspicions or the list: notifies the node and updates its
// position in the tree.
void Replicator::updateMembers()
{
    ApplyMembers now{members(), list().leavingUpstreams, list().entryVms.size()};
    if (now != m_lastMembers) {
        m_lastMembers = now;
        m_actions.emplace_back(std::move(now));
    }
    updateTreePosition();
}

void Replicator::updateTreePosition()
{
    const std::vector<Member> now = members();
    m_position = treePosition(m_self.name, m_self.failureDomain, now);
    std::vector<std::string> linkedPeers = m_position.parents;
    linkedPeers.insert(linkedPeers.end(), m_position.neighbours.begin(),
                       m_position.neighbours.end());
    SetOutgoingLinks links;
    for (const Member &it : now) {
        if (it.name != m_self.name && contains(linkedPeers, it.name))
            links.peers.push_back(it);
    }
    std::set<std::string> expected(m_position.children.begin(), m_position.children.end());
    expected.insert(m_position.parents.begin(), m_position.parents.end());
    m_peers.setExpected(std::move(expected));
    const std::vector<std::string> names = namesOf(links.peers);
    if (names != m_lastLinks) {
        m_lastLinks = names;
        m_actions.emplace_back(std::move(links));
    }
    if (list().revision > 0 && !m_noLinksSince)
        setPlatformReading(m_position.isRelay);
}

// ---------------------------------------------------------------- links

void Replicator::linkUp(const std::string &peer)
{
    m_peers.addLink(peer);
    if (std::exchange(m_noLinksSince, std::nullopt) && list().revision > 0)
        setPlatformReading(m_position.isRelay);
    // Each side sends its versions, so that the other can send what is missing.
    PeerUpdate update = baseUpdate();
    update.liveness = m_members.records();
    send(peer, std::move(update));
}

void Replicator::linkDown(const std::string &peer)
{
    if (m_peers.removeLink(peer) && m_fetch.from == peer)
        m_fetch.from.clear();
}

void Replicator::updateArrived(const std::string &peer, const PeerUpdate &update)
{
    PeerTable::Link *link = m_peers.find(peer);
    if (link == nullptr)
        return;
    link->lastReceived = m_clock.now();
    link->headVersion = std::max(link->headVersion, update.headVersion);
    link->listRevision = std::max(link->listRevision, update.listRevision);
    // A peer that has no configuration itself does not count.
    m_peerVersionSeen = m_peerVersionSeen || update.headVersion > 0;
    if (update.leaving) {
        m_peers.closedByPeer(peer);
        suspect(peer); // at once, without waiting for the timeout
        return;
    }
    mergeLiveness(update.liveness, peer);
    if (update.list)
        applyListDelta(*update.list, peer);
    if (update.head)
        offerHead(*update.head, peer);
    if (!update.blobs.empty())
        receiveBlobs(update.blobs);
    sendReply(peer, *link, update);
    recordNewerVersion(peer, update);
}

// Sends a peer what it requested, and what it lacks according to its versions.
void Replicator::sendReply(const std::string &peer, PeerTable::Link &link, const PeerUpdate &update)
{
    PeerUpdate reply = baseUpdate();
    bool hasContent = false;
    for (const std::string &it : update.requestedDigests) {
        if (auto bytes = m_configuration.findBytes(it)) {
            reply.blobs.push_back({it, std::move(*bytes)});
            hasContent = true;
        }
    }
    // A peer with an older version gets the head, unless its first parent sends it.
    const bool needsHead = sendsWholeHeadTo(peer) && update.headVersion < head().version;
    if (update.requestsHead || (needsHead && link.headVersion < head().version)) {
        link.headVersion = head().version;
        reply.head = withoutSubmissionIds(head());
        hasContent = true;
    }
    if (update.requestsList || link.listRevision < list().revision) {
        link.listRevision = list().revision;
        reply.list = makeDelta(VmList{}, list());
        hasContent = true;
    }
    if (update.listRevision > list().revision && !update.list) {
        reply.requestsList = true;
        hasContent = true;
    }
    if (hasContent)
        send(peer, std::move(reply));
}

// Records a peer that announced a newer version without sending it.
void Replicator::recordNewerVersion(const std::string &peer, const PeerUpdate &update)
{
    const bool isBehind = update.headVersion > head().version && !update.head
                          && m_configuration.pendingVersion() < update.headVersion;
    if (isBehind && (!m_newerVersion || m_newerVersion->version < update.headVersion))
        m_newerVersion = NewerVersion{update.headVersion, peer, m_clock.now()};
}

// ---------------------------------------------------------------- time

void Replicator::tick()
{
    if (m_deferredHead && !mustWaitForPeers())
        offerHead(*std::exchange(m_deferredHead, std::nullopt), "");
    sendHeartbeats();
    suspectSilentPeers();
    checkOrphaned();
    requestNewerHead();
    const bool isPending = m_configuration.pendingVersion() != 0;
    if (isPending && m_clock.now() - m_fetch.requestedAt >= m_timings.retryRequestAfter)
        requestParts();
}

void Replicator::sendHeartbeats()
{
    for (const std::string &it : m_peers.sentNothingFor(m_timings.heartbeat))
        send(it, baseUpdate());
}

void Replicator::suspectSilentPeers()
{
    for (const std::string &it : m_peers.silentFor(m_timings.suspectAfter))
        suspect(it);
}

// A node that is not a relay starts to read the platform after some time without any link. The time
// has a random part, so that not all nodes of a domain start at once.
void Replicator::checkOrphaned()
{
    const bool hasNoLinks = m_peers.links().empty() && !m_position.isRelay && list().revision > 0;
    if (!hasNoLinks) {
        m_noLinksSince.reset();
        return;
    }
    const TimePoint now = m_clock.now();
    if (!m_noLinksSince) {
        m_noLinksSince = now;
        m_jitter = Duration(static_cast<std::int64_t>(
            m_random() % static_cast<std::uint64_t>(m_timings.orphanAfter.count())));
    }
    if (!m_readsPlatform && now - *m_noLinksSince >= m_timings.orphanAfter + m_jitter) {
        m_actions.emplace_back(ReplicatorAlarm{ReplicatorAlarm::Kind::Orphaned, 0, head().version});
        setPlatformReading(true);
    }
}

void Replicator::stop()
{
    m_stopping = true;
    for (const auto &[peer, link] : m_peers.links()) {
        PeerUpdate update = baseUpdate();
        update.leaving = true;
        send(peer, std::move(update));
    }
}

std::vector<ReplicatorAction> Replicator::takeActions()
{
    // Only once for all events since the last call.
    if (std::exchange(m_membersChanged, false))
        updateMembers();
    return std::exchange(m_actions, {});
}

void Replicator::setPlatformReading(bool enabled)
{
    if (std::exchange(m_readsPlatform, enabled) != enabled)
        m_actions.emplace_back(SetPlatformReading{enabled});
}

PeerUpdate Replicator::baseUpdate() const
{
    PeerUpdate update;
    update.headVersion = head().version;
    update.listRevision = list().revision;
    return update;
}

void Replicator::send(const std::string &peer, PeerUpdate update)
{
    PeerTable::Link *link = m_peers.find(peer);
    if (link == nullptr)
        return;
    link->lastSent = m_clock.now();
    m_actions.emplace_back(SendUpdate{peer, std::move(update)});
}

} // namespace fordwood
