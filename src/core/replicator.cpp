// SPDX-License-Identifier: MIT
#include "fordwood/replicator.hpp"

#include <algorithm>
#include <utility>

namespace fordwood {

namespace {

// An incarnation is the boot and, in the low bits, the number of suspicions answered since.
constexpr unsigned kBootShift = 10;
constexpr std::size_t kMostWants = 64; // digests asked for in one update

std::vector<std::string> namesOf(const std::vector<Member> &members)
{
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const Member &it : members)
        names.push_back(it.name);
    return names;
}

} // namespace

Replicator::Replicator(Member self, std::uint64_t boot, const Clock &clock, const HeadCodec &codec,
                       ReplicatorLimits limits, std::uint64_t seed)
    : m_self(std::move(self)), m_incarnation(boot << kBootShift), m_clock(clock), m_codec(codec),
      m_limits(limits), m_random(seed)
{
    m_liveness.offer({m_self.name, m_incarnation, false});
}

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
    const bool onlyMember = m_list.revision > 0 && members().size() <= 1;
    return m_head.version == 0 && !m_heardPeer && !onlyMember
           && m_clock.now() - m_started < m_limits.firstWord;
}

void Replicator::offerHead(const ConfigHead &head, const std::string &from)
{
    if (head.version < m_head.version && from.empty()) {
        m_actions.emplace_back(
            ReplicatorAlarm{ReplicatorAlarm::Kind::OlderHead, head.version, m_head.version});
        return;
    }
    if (head.version <= m_head.version)
        return;
    if (m_pending && m_pending->head.version >= head.version)
        return;
    if (applyByDelta(head))
        return;
    m_pending = Pending{head, from, std::nullopt, m_clock.now(), 0};
    askForParts();
}

bool Replicator::applyByDelta(const ConfigHead &head)
{
    if (!head.delta || head.delta->fromManifestSha256 != m_head.manifestSha256)
        return false;
    auto pieces = applyDelta(m_pieces, *head.delta,
                             [this](const std::string &bytes) { return m_codec.digest(bytes); });
    if (!pieces || m_codec.digest(m_codec.encodeManifest(*pieces)) != head.manifestSha256)
        return false;
    apply(head, std::move(*pieces));
    return true;
}

// Asks for what the pending configuration lacks: first the peer that offered it, then others in
// turn, and the platform if this node reads it.
void Replicator::askForParts()
{
    Pending &pending = *m_pending;
    pending.askedAt = m_clock.now();
    std::vector<std::string> wants;
    FetchBlobs fetch;
    if (!pending.pieces) {
        wants.push_back(pending.head.manifestSha256);
        fetch.manifests = wants;
    } else {
        for (const StoredPiece &it : *pending.pieces) {
            if (m_blobs.count(it.sha256) == 0 && wants.size() < kMostWants)
                wants.push_back(it.sha256);
        }
        fetch.pieces = wants;
    }
    if (wants.empty())
        return;
    // Platform and peers in turn, beginning with whoever offered it: either may not answer.
    const std::size_t platformsTurn = pending.from.empty() ? 0 : 1;
    const bool fromPlatform = m_reading && (m_links.empty() || pending.tries % 2 == platformsTurn);
    ++pending.tries;
    if (fromPlatform) {
        m_actions.emplace_back(std::move(fetch));
        return;
    }
    const bool offerer = pending.tries == 1 && m_links.count(pending.from) != 0;
    const std::string peer = offerer ? pending.from : someLink(pending.tries);
    if (peer.empty())
        return;
    PeerUpdate update = baseUpdate();
    update.wants = std::move(wants);
    send(peer, std::move(update));
}

void Replicator::platformBlobs(const std::vector<Blob> &blobs)
{
    for (const Blob &it : blobs)
        takeBlob(it);
    completePending();
}

void Replicator::takeBlob(const Blob &blob)
{
    if (!m_pending || m_codec.digest(blob.bytes) != blob.sha256)
        return;
    if (blob.sha256 == m_pending->head.manifestSha256) {
        m_pending->pieces = m_codec.decodeManifest(blob.bytes);
        if (!m_pending->pieces) {
            m_actions.emplace_back(ReplicatorAlarm{ReplicatorAlarm::Kind::DamagedConfiguration,
                                                   m_pending->head.version, m_head.version});
            m_pending.reset();
            return;
        }
        // Pieces that did not change need not be asked for.
        for (const StoredPiece &it : m_pieces)
            m_blobs[it.sha256] = it.text;
        m_pending->tries = 0;
        return;
    }
    m_blobs[blob.sha256] = blob.bytes;
}

void Replicator::completePending()
{
    if (!m_pending)
        return;
    if (!m_pending->pieces)
        return;
    for (StoredPiece &it : *m_pending->pieces) {
        const auto blob = m_blobs.find(it.sha256);
        if (blob == m_blobs.end())
            return askForParts();
        it.text = blob->second;
    }
    const Pending pending = *std::exchange(m_pending, std::nullopt);
    apply(pending.head, *pending.pieces);
}

void Replicator::apply(ConfigHead head, std::vector<StoredPiece> pieces)
{
    m_head = std::move(head);
    m_pieces = std::move(pieces);
    m_manifest = m_codec.encodeManifest(m_pieces);
    m_blobs.clear();
    if (m_pending && m_pending->head.version <= m_head.version)
        m_pending.reset();
    m_actions.emplace_back(ApplyConfiguration{m_head, m_pieces});
    announceHead();
}

// Tells the links that do not know the version yet: first children and other relays get the change
// itself, the others only the version. The ids of submissions stay in the platform.
void Replicator::announceHead()
{
    ConfigHead head = m_head;
    head.recentSubmissionIds.clear();
    for (auto &[peer, link] : m_links) {
        if (link.headVersion >= m_head.version)
            continue;
        PeerUpdate update = baseUpdate();
        if (getsWholeChanges(peer)) {
            link.headVersion = m_head.version;
            update.head = head;
        }
        send(peer, std::move(update));
    }
}

bool Replicator::getsWholeChanges(const std::string &peer) const
{
    const auto contains = [&](const std::vector<std::string> &names) {
        return std::find(names.begin(), names.end(), peer) != names.end();
    };
    if (contains(m_place.firstChildren))
        return true;
    return !contains(m_place.children) && !contains(m_place.parents);
}

// Asks a peer that has a newer version, once the first parent has had time to send it unasked.
void Replicator::askForNewer()
{
    if (!m_newer)
        return;
    if (m_newer->version <= m_head.version
        || (m_pending && m_pending->head.version >= m_newer->version)) {
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

void Replicator::offerList(const VmList &list, const std::string &from)
{
    if (list.revision <= m_list.revision)
        return;
    const VmListDelta delta = makeDelta(m_list, list);
    m_list = list;
    for (auto &[peer, link] : m_links) {
        if (peer == from || link.listRevision >= m_list.revision)
            continue;
        PeerUpdate update = baseUpdate();
        update.list = link.listRevision == delta.fromRevision ? delta : makeDelta(VmList{}, m_list);
        link.listRevision = m_list.revision;
        send(peer, std::move(update));
    }
    m_liveness.keepOnly(
        [this](const std::string &name) { return name == m_self.name || listed(name) != nullptr; });
    changed();
}

void Replicator::takeListDelta(const VmListDelta &delta, const std::string &from)
{
    if (delta.toRevision <= m_list.revision)
        return;
    const auto list = applyDelta(m_list, delta);
    if (list)
        return offerList(*list, from);
    PeerUpdate update = baseUpdate();
    update.wantsList = true;
    send(from, std::move(update));
}

std::uint64_t Replicator::bootOf(const std::string &member) const
{
    return m_liveness.of(member).incarnation >> kBootShift;
}

std::vector<Member> Replicator::members() const
{
    std::vector<Member> members;
    for (const Member &it : m_list.entryVms) {
        if (!m_liveness.isSuspected(it.name) || it.name == m_self.name)
            members.push_back(it);
    }
    return members;
}

void Replicator::takeLiveness(const std::vector<LivenessRecord> &records, const std::string &from)
{
    std::vector<LivenessRecord> news;
    for (const LivenessRecord &it : records) {
        if (it.member == m_self.name) {
            if (it.suspected && it.incarnation >= m_incarnation && !m_stopping) {
                m_incarnation = it.incarnation + 1;
                announceSelf();
            }
            continue;
        }
        const bool before = m_liveness.isSuspected(it.member);
        if (!m_liveness.offer(it))
            continue;
        news.push_back(it);
        m_membersChanged = m_membersChanged || before != it.suspected;
    }
    if (!news.empty())
        spreadLiveness(news, from);
}

// Passes records on to all links but the one that they came from.
void Replicator::spreadLiveness(const std::vector<LivenessRecord> &records,
                                const std::string &except)
{
    for (const auto &[peer, link] : m_links) {
        if (peer == except)
            continue;
        PeerUpdate update = baseUpdate();
        update.liveness = records;
        send(peer, std::move(update));
    }
}

void Replicator::announceSelf()
{
    const LivenessRecord self{m_self.name, m_incarnation, false};
    m_liveness.offer(self);
    spreadLiveness({self}, "");
}

void Replicator::suspect(const std::string &member)
{
    if (m_liveness.isSuspected(member) || listed(member) == nullptr)
        return;
    LivenessRecord record = m_liveness.of(member);
    record.suspected = true;
    takeLiveness({record}, "");
}

// Members, suspicions or the list have changed: tell the node, and find the new place in the tree.
void Replicator::changed()
{
    std::vector<Member> now = members();
    const std::size_t listed = m_list.entryVms.size();
    if (now != m_lastMembers || m_list.leavingUpstreams != m_lastLeaving
        || listed != m_lastListed) {
        m_lastMembers = now;
        m_lastListed = listed;
        m_lastLeaving = m_list.leavingUpstreams;
        m_actions.emplace_back(ApplyMembers{now, m_lastLeaving, listed});
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
        if (it.name != m_self.name
            && std::find(wanted.begin(), wanted.end(), it.name) != wanted.end())
            keep.peers.push_back(it);
    }
    m_expected.clear();
    m_expected.insert(m_place.children.begin(), m_place.children.end());
    m_expected.insert(m_place.parents.begin(), m_place.parents.end());
    std::erase_if(m_silentSince,
                  [this](const auto &it) { return m_expected.count(it.first) == 0; });
    for (const std::string &it : m_expected) {
        if (m_links.count(it) == 0)
            m_silentSince.try_emplace(it, m_clock.now());
    }
    const std::vector<std::string> names = namesOf(keep.peers);
    if (names != m_lastKept) {
        m_lastKept = names;
        m_actions.emplace_back(std::move(keep));
    }
    if (m_list.revision > 0 && !m_aloneSince)
        setReading(m_place.relay);
}

// ---------------------------------------------------------------- links

void Replicator::linkUp(const std::string &peer)
{
    m_links[peer] = Link{m_clock.now(), m_clock.now(), 0, 0};
    m_silentSince.erase(peer);
    if (std::exchange(m_aloneSince, std::nullopt) && m_list.revision > 0)
        setReading(m_place.relay);
    // Each side says what it has; the versions in the update bring out what the other lacks.
    PeerUpdate update = baseUpdate();
    update.liveness = m_liveness.all();
    send(peer, std::move(update));
}

void Replicator::linkDown(const std::string &peer)
{
    if (m_links.erase(peer) == 0)
        return;
    if (m_expected.count(peer) != 0)
        m_silentSince.try_emplace(peer, m_clock.now());
    if (m_pending && m_pending->from == peer)
        m_pending->from.clear();
}

void Replicator::updateArrived(const std::string &peer, const PeerUpdate &update)
{
    const auto known = m_links.find(peer);
    if (known == m_links.end())
        return;
    Link &link = known->second;
    link.lastHeard = m_clock.now();
    link.headVersion = std::max(link.headVersion, update.headVersion);
    // A peer that is fresh itself has no word to give.
    m_heardPeer = m_heardPeer || update.headVersion > 0;
    link.listRevision = std::max(link.listRevision, update.listRevision);
    if (update.leaving) {
        m_links.erase(known);
        m_silentSince.erase(peer);
        suspect(peer); // by its own word, without waiting for its silence
        return;
    }
    takeLiveness(update.liveness, peer);
    if (update.list)
        takeListDelta(*update.list, peer);
    if (update.head)
        offerHead(*update.head, peer);
    for (const Blob &it : update.blobs)
        takeBlob(it);
    if (!update.blobs.empty())
        completePending();

    PeerUpdate reply = baseUpdate();
    bool answer = false;
    for (const std::string &it : update.wants) {
        if (auto bytes = blobOf(it)) {
            reply.blobs.push_back({it, std::move(*bytes)});
            answer = true;
        }
    }
    // Who is behind is helped, unless its first parent does that.
    const bool helped = getsWholeChanges(peer) && update.headVersion < m_head.version;
    if (update.wantsHead || (helped && link.headVersion < m_head.version)) {
        link.headVersion = m_head.version;
        reply.head = m_head;
        reply.head->recentSubmissionIds.clear();
        answer = true;
    }
    if (update.wantsList || link.listRevision < m_list.revision) {
        link.listRevision = m_list.revision;
        reply.list = makeDelta(VmList{}, m_list);
        answer = true;
    }
    const bool behind = update.headVersion > m_head.version && !update.head
                        && (!m_pending || m_pending->head.version < update.headVersion);
    if (behind && (!m_newer || m_newer->version < update.headVersion))
        m_newer = Newer{update.headVersion, peer, m_clock.now()};
    if (update.listRevision > m_list.revision && !update.list) {
        reply.wantsList = true;
        answer = true;
    }
    if (answer && m_links.count(peer) != 0)
        send(peer, std::move(reply));
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
    if (m_pending && m_clock.now() - m_pending->askedAt >= m_limits.askAgain)
        askForParts();
}

void Replicator::heartbeat()
{
    const TimePoint now = m_clock.now();
    std::vector<std::string> due;
    for (const auto &[peer, link] : m_links) {
        if (now - link.lastSent >= m_limits.heartbeat)
            due.push_back(peer);
    }
    for (const std::string &it : due)
        send(it, baseUpdate());
}

void Replicator::lookForSilence()
{
    const TimePoint now = m_clock.now();
    std::vector<std::string> silent;
    for (const auto &[peer, since] : m_silentSince) {
        if (now - since >= m_limits.suspectAfter)
            silent.push_back(peer);
    }
    for (const auto &[peer, link] : m_links) {
        if (m_expected.count(peer) != 0 && now - link.lastHeard >= m_limits.suspectAfter)
            silent.push_back(peer);
    }
    for (const std::string &it : silent)
        suspect(it);
}

// Without any link for long, a node that is no relay reads the platform by itself, at a moment of
// its own so that a whole domain does not come at once.
void Replicator::lookForOrphanhood()
{
    const bool alone = m_links.empty() && !m_place.relay && m_list.revision > 0;
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
        m_actions.emplace_back(ReplicatorAlarm{ReplicatorAlarm::Kind::Orphaned, 0, m_head.version});
        setReading(true);
    }
}

void Replicator::stop()
{
    m_stopping = true;
    for (const auto &[peer, link] : m_links) {
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
    update.headVersion = m_head.version;
    update.listRevision = m_list.revision;
    return update;
}

void Replicator::send(const std::string &peer, PeerUpdate update)
{
    const auto link = m_links.find(peer);
    if (link == m_links.end())
        return;
    link->second.lastSent = m_clock.now();
    m_actions.emplace_back(SendUpdate{peer, std::move(update)});
}

std::optional<std::string> Replicator::blobOf(const std::string &sha256) const
{
    if (sha256 == m_head.manifestSha256 && m_head.version > 0)
        return m_manifest;
    for (const StoredPiece &it : m_pieces) {
        if (it.sha256 == sha256)
            return it.text;
    }
    return std::nullopt;
}

std::string Replicator::someLink(std::size_t n) const
{
    if (m_links.empty())
        return "";
    auto it = m_links.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(n % m_links.size()));
    return it->first;
}

const Member *Replicator::listed(const std::string &name) const
{
    const auto it = std::lower_bound(
        m_list.entryVms.begin(), m_list.entryVms.end(), name,
        [](const Member &member, const std::string &key) { return member.name < key; });
    return it != m_list.entryVms.end() && it->name == name ? &*it : nullptr;
}

} // namespace fordwood
