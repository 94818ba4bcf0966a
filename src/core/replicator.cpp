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

// A head as peers get it: the ids of submissions stay in the platform.
ConfigHead withoutSubmissionIds(ConfigHead head)
{
    head.recentSubmissionIds.clear();
    return head;
}

} // namespace

Replicator::Replicator(Member self, std::uint64_t boot, const Clock &clock, const HeadCodec &codec,
                       ReplicatorLimits limits, std::uint64_t seed)
    : m_self(std::move(self)), m_clock(clock), m_limits(limits), m_random(seed),
      m_configuration(codec), m_members(m_self.name, boot), m_peers(clock)
{ }

void Replicator::start()
{
    m_started = m_clock.now();
    setReading(true);
}

// ---------------------------------------------------------------- configuration

void Replicator::platformHead(const ConfigHead &head)
{
    if (mustHearPeersFirst()) {
        m_firstHead = head;
        return;
    }
    offerHead(head, "");
}

// A platform that was restored from an old copy shows an older version. A fresh node has nothing to
// compare it with, so it gives its peers a moment to name a newer one before it serves any.
bool Replicator::mustHearPeersFirst() const
{
    const bool onlyMember = list().revision > 0 && members().size() <= 1;
    return head().version == 0 && !m_heardPeer && !onlyMember
           && m_clock.now() - m_started < m_limits.firstWord;
}

void Replicator::offerHead(const ConfigHead &offered, const std::string &from)
{
    switch (m_configuration.offer(offered)) {
    case ConfigurationCopy::Offer::Older:
        if (from.empty())
            m_actions.emplace_back(
                ReplicatorAlarm{ReplicatorAlarm::Kind::OlderHead, offered.version, head().version});
        break;
    case ConfigurationCopy::Offer::Known:
        break;
    case ConfigurationCopy::Offer::InForce:
        applied();
        break;
    case ConfigurationCopy::Offer::NeedsParts:
        m_collecting = Collecting{from, m_clock.now(), 0};
        askForParts();
        break;
    }
}

// Asks for what the collected configuration lacks: first the peer that offered it, then others in
// turn, and the platform if this node reads it.
void Replicator::askForParts()
{
    m_collecting.askedAt = m_clock.now();
    ConfigurationCopy::Missing missing = m_configuration.missing();
    if (missing.manifests.empty() && missing.pieces.empty())
        return;
    // Platform and peers in turn, beginning with whoever offered it: either may not answer.
    const std::size_t platformsTurn = m_collecting.from.empty() ? 0 : 1;
    const bool fromPlatform
        = m_reading && (m_peers.links().empty() || m_collecting.tries % 2 == platformsTurn);
    ++m_collecting.tries;
    if (fromPlatform) {
        m_actions.emplace_back(FetchBlobs{missing.manifests, missing.pieces});
        return;
    }
    const bool offerer = m_collecting.tries == 1 && m_peers.has(m_collecting.from);
    const std::string peer = offerer ? m_collecting.from : m_peers.inTurn(m_collecting.tries);
    if (peer.empty())
        return;
    PeerUpdate update = baseUpdate();
    update.wants = missing.manifests.empty() ? missing.pieces : missing.manifests;
    send(peer, std::move(update));
}

void Replicator::platformBlobs(const std::vector<Blob> &blobs)
{
    takeBlobs(blobs);
}

void Replicator::takeBlobs(const std::vector<Blob> &blobs)
{
    const std::uint64_t collected = m_configuration.collecting();
    const bool hadManifest = m_configuration.hasManifest();
    const ConfigurationCopy::Progress progress = m_configuration.take(blobs);
    if (!hadManifest && m_configuration.hasManifest())
        m_collecting.tries = 0;
    switch (progress) {
    case ConfigurationCopy::Progress::Idle:
        break;
    case ConfigurationCopy::Progress::NeedsParts:
        askForParts();
        break;
    case ConfigurationCopy::Progress::InForce:
        applied();
        break;
    case ConfigurationCopy::Progress::Damaged:
        m_actions.emplace_back(ReplicatorAlarm{ReplicatorAlarm::Kind::DamagedConfiguration,
                                               collected, head().version});
        break;
    }
}

// A newer configuration is in force.
void Replicator::applied()
{
    m_actions.emplace_back(ApplyConfiguration{head(), m_configuration.pieces()});
    announceHead();
}

// Tells the links that do not know the version yet: first children and other relays get the change
// itself, the others only the version.
void Replicator::announceHead()
{
    for (auto &[peer, link] : m_peers.links()) {
        if (link.headVersion >= head().version)
            continue;
        PeerUpdate update = baseUpdate();
        if (getsWholeChanges(peer)) {
            link.headVersion = head().version;
            update.head = withoutSubmissionIds(head());
        }
        send(peer, std::move(update));
    }
}

bool Replicator::getsWholeChanges(const std::string &peer) const
{
    if (contains(m_place.firstChildren, peer))
        return true;
    return !contains(m_place.children, peer) && !contains(m_place.parents, peer);
}

// Asks a peer that has a newer version, once the first parent has had time to send it unasked.
void Replicator::askForNewer()
{
    if (!m_newer)
        return;
    if (m_newer->version <= head().version || m_configuration.collecting() >= m_newer->version) {
        m_newer.reset();
        return;
    }
    if (m_clock.now() - m_newer->since < m_limits.firstParentGrace)
        return;
    PeerUpdate update = baseUpdate();
    update.wantsHead = true;
    send(m_newer->peer, std::move(update));
    m_newer.reset();
}

// ---------------------------------------------------------------- VM list and members

void Replicator::platformList(const VmList &list)
{
    offerList(list, "");
}

void Replicator::offerList(const VmList &offered, const std::string &from)
{
    const auto delta = m_members.take(offered);
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
    changed();
}

void Replicator::takeListDelta(const VmListDelta &delta, const std::string &from)
{
    if (delta.toRevision <= list().revision)
        return;
    const auto newer = applyDelta(list(), delta);
    if (newer)
        return offerList(*newer, from);
    PeerUpdate update = baseUpdate();
    update.wantsList = true;
    send(from, std::move(update));
}

void Replicator::takeLiveness(const std::vector<LivenessRecord> &records, const std::string &from)
{
    const MemberTable::News news = m_members.take(records);
    if (news.selfSuspected && !m_stopping)
        spreadLiveness({m_members.answerSuspicion()}, "");
    m_membersChanged = m_membersChanged || news.membersChanged;
    if (!news.records.empty())
        spreadLiveness(news.records, from);
}

// Passes records on to all links but the one that they came from.
void Replicator::spreadLiveness(const std::vector<LivenessRecord> &records,
                                const std::string &except)
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
    if (const auto record = m_members.suspicionOf(member))
        takeLiveness({*record}, "");
}

// Members, suspicions or the list have changed: tell the node, and find the new place in the tree.
void Replicator::changed()
{
    ApplyMembers now{members(), list().leavingUpstreams, list().entryVms.size()};
    if (now != m_lastMembers) {
        m_lastMembers = now;
        m_actions.emplace_back(std::move(now));
    }
    rearrange();
}

void Replicator::rearrange()
{
    const std::vector<Member> now = members();
    m_place = spreadingPlace(m_self.name, m_self.failureDomain, now);
    std::vector<std::string> wanted = m_place.parents;
    wanted.insert(wanted.end(), m_place.neighbours.begin(), m_place.neighbours.end());
    KeepLinks keep;
    for (const Member &it : now) {
        if (it.name != m_self.name && contains(wanted, it.name))
            keep.peers.push_back(it);
    }
    std::set<std::string> expected(m_place.children.begin(), m_place.children.end());
    expected.insert(m_place.parents.begin(), m_place.parents.end());
    m_peers.expect(std::move(expected));
    const std::vector<std::string> names = namesOf(keep.peers);
    if (names != m_lastKept) {
        m_lastKept = names;
        m_actions.emplace_back(std::move(keep));
    }
    if (list().revision > 0 && !m_aloneSince)
        setReading(m_place.relay);
}

// ---------------------------------------------------------------- links

void Replicator::linkUp(const std::string &peer)
{
    m_peers.up(peer);
    if (std::exchange(m_aloneSince, std::nullopt) && list().revision > 0)
        setReading(m_place.relay);
    // Each side says what it has; the versions in the update bring out what the other lacks.
    PeerUpdate update = baseUpdate();
    update.liveness = m_members.records();
    send(peer, std::move(update));
}

void Replicator::linkDown(const std::string &peer)
{
    if (m_peers.down(peer) && m_collecting.from == peer)
        m_collecting.from.clear();
}

void Replicator::updateArrived(const std::string &peer, const PeerUpdate &update)
{
    PeerTable::Link *link = m_peers.find(peer);
    if (link == nullptr)
        return;
    link->lastHeard = m_clock.now();
    link->headVersion = std::max(link->headVersion, update.headVersion);
    link->listRevision = std::max(link->listRevision, update.listRevision);
    // A peer that is fresh itself has no word to give.
    m_heardPeer = m_heardPeer || update.headVersion > 0;
    if (update.leaving) {
        m_peers.closedByPeer(peer);
        suspect(peer); // by its own word, without waiting for its silence
        return;
    }
    takeLiveness(update.liveness, peer);
    if (update.list)
        takeListDelta(*update.list, peer);
    if (update.head)
        offerHead(*update.head, peer);
    if (!update.blobs.empty())
        takeBlobs(update.blobs);
    answer(peer, *link, update);
    noteNewer(peer, update);
}

// Sends a peer what it asked for, and what its versions show that it lacks.
void Replicator::answer(const std::string &peer, PeerTable::Link &link, const PeerUpdate &update)
{
    PeerUpdate reply = baseUpdate();
    bool needed = false;
    for (const std::string &it : update.wants) {
        if (auto bytes = m_configuration.bytesOf(it)) {
            reply.blobs.push_back({it, std::move(*bytes)});
            needed = true;
        }
    }
    // Who is behind is helped, unless its first parent does that.
    const bool helped = getsWholeChanges(peer) && update.headVersion < head().version;
    if (update.wantsHead || (helped && link.headVersion < head().version)) {
        link.headVersion = head().version;
        reply.head = withoutSubmissionIds(head());
        needed = true;
    }
    if (update.wantsList || link.listRevision < list().revision) {
        link.listRevision = list().revision;
        reply.list = makeDelta(VmList{}, list());
        needed = true;
    }
    if (update.listRevision > list().revision && !update.list) {
        reply.wantsList = true;
        needed = true;
    }
    if (needed)
        send(peer, std::move(reply));
}

// Remembers a peer that names a newer version without sending it.
void Replicator::noteNewer(const std::string &peer, const PeerUpdate &update)
{
    const bool behind = update.headVersion > head().version && !update.head
                        && m_configuration.collecting() < update.headVersion;
    if (behind && (!m_newer || m_newer->version < update.headVersion))
        m_newer = Newer{update.headVersion, peer, m_clock.now()};
}

// ---------------------------------------------------------------- time

void Replicator::tick()
{
    if (m_firstHead && !mustHearPeersFirst())
        offerHead(*std::exchange(m_firstHead, std::nullopt), "");
    heartbeat();
    lookForSilence();
    lookForOrphanhood();
    askForNewer();
    const bool collecting = m_configuration.collecting() != 0;
    if (collecting && m_clock.now() - m_collecting.askedAt >= m_limits.askAgain)
        askForParts();
}

void Replicator::heartbeat()
{
    for (const std::string &it : m_peers.unsentFor(m_limits.heartbeat))
        send(it, baseUpdate());
}

void Replicator::lookForSilence()
{
    for (const std::string &it : m_peers.silentFor(m_limits.suspectAfter))
        suspect(it);
}

// Without any link for long, a node that is no relay reads the platform by itself, at a moment of
// its own so that a whole domain does not come at once.
void Replicator::lookForOrphanhood()
{
    const bool alone = m_peers.links().empty() && !m_place.relay && list().revision > 0;
    if (!alone) {
        m_aloneSince.reset();
        return;
    }
    const TimePoint now = m_clock.now();
    if (!m_aloneSince) {
        m_aloneSince = now;
        m_jitter = Duration(static_cast<std::int64_t>(
            m_random() % static_cast<std::uint64_t>(m_limits.orphanAfter.count())));
    }
    if (!m_reading && now - *m_aloneSince >= m_limits.orphanAfter + m_jitter) {
        m_actions.emplace_back(ReplicatorAlarm{ReplicatorAlarm::Kind::Orphaned, 0, head().version});
        setReading(true);
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
    // Once for all that the events since the last call have changed.
    if (std::exchange(m_membersChanged, false))
        changed();
    return std::exchange(m_actions, {});
}

void Replicator::setReading(bool enabled)
{
    if (std::exchange(m_reading, enabled) != enabled)
        m_actions.emplace_back(ReadPlatform{enabled});
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
