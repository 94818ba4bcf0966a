// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_REPLICATOR_HPP_INCLUDED
#define FORDWOOD_REPLICATOR_HPP_INCLUDED

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/config_head.hpp"
#include "fordwood/liveness.hpp"
#include "fordwood/spreading_tree.hpp"
#include "fordwood/submission.hpp"
#include "fordwood/vm_list.hpp"

namespace fordwood {

// Bytes named by their digest.
struct Blob
{
    std::string sha256;
    std::string bytes;
};

// What one node tells another. Most carry only the first two fields: a heartbeat.
struct PeerUpdate
{
    std::uint64_t headVersion = 0; // newest configuration known to the sender
    std::uint64_t listRevision = 0; // newest VM list known to the sender
    std::optional<ConfigHead> head;
    std::optional<VmListDelta> list;
    std::vector<LivenessRecord> liveness;
    std::vector<std::string> wants; // digests that the sender would like to have
    std::vector<Blob> blobs;
    bool wantsHead = false;
    bool wantsList = false;
    bool leaving = false; // the sender closes this link on purpose
};

// --- What the replicator wants done ---

// Sends an update over the link to a peer.
struct SendUpdate
{
    std::string peer;
    PeerUpdate update;
};

// The peers to which this node must hold a link that it opens itself; others are to be closed.
struct KeepLinks
{
    std::vector<Member> peers;
};

// Whether this node reads the platform by itself (head and VM list).
struct ReadPlatform
{
    bool enabled;
};

// Reads values from the platform by digest; answered by platformBlobs().
struct FetchBlobs
{
    std::vector<std::string> manifests;
    std::vector<std::string> pieces;
};

// A whole configuration is there and takes effect on this node.
struct ApplyConfiguration
{
    ConfigHead head;
    std::vector<StoredPiece> pieces;
};

// The members or the leaving upstreams have changed.
struct ApplyMembers
{
    std::vector<Member> members; // listed and not suspected
    std::set<std::string> leavingUpstreams;
    std::size_t listed = 0; // members that the platform lists, suspected or not
};

// Something an operator should hear of.
struct ReplicatorAlarm
{
    enum class Kind { OlderHead, DamagedConfiguration, Orphaned };
    Kind kind;
    std::uint64_t seen = 0;
    std::uint64_t kept = 0;
};

using ReplicatorAction = std::variant<SendUpdate, KeepLinks, ReadPlatform, FetchBlobs,
                                      ApplyConfiguration, ApplyMembers, ReplicatorAlarm>;

// The times that the replicator keeps to.
struct ReplicatorLimits
{
    Duration heartbeat = std::chrono::seconds(2);
    Duration suspectAfter = std::chrono::seconds(7); // of silence
    Duration askAgain = std::chrono::seconds(1); // for parts that did not come
    Duration firstParentGrace = std::chrono::milliseconds(300); // before another link is asked
    Duration firstWord = std::chrono::seconds(2); // a fresh node waits so long for a peer's version
    Duration orphanAfter = std::chrono::seconds(10); // without any link: read the platform
};

// Spreads the configuration, the VM list and the members' liveness over the fleet. A few relays per
// failure domain read the platform; everybody else hears of changes over a tree of links, as deltas
// that are checked against digests. Versions only grow. Events in, actions out; no I/O, no threads.
//
// Safety rests on the platform's compare-and-swap alone: whatever two nodes believe of the tree or
// of each other, a configuration takes effect only whole, with the digests that its head names, and
// only after all older ones.
class Replicator
{
public:
    // `boot`: names the start of this process; later starts have higher ones.
    Replicator(Member self, std::uint64_t boot, const Clock &clock, const HeadCodec &codec,
               ReplicatorLimits limits = {}, std::uint64_t seed = 1);

    // Begins; until the first VM list is known the node reads the platform by itself.
    void start();

    // --- from the platform ---
    void platformHead(const ConfigHead &head);
    void platformList(const VmList &list);
    void platformBlobs(const std::vector<Blob> &blobs);

    // --- from peers ---
    void linkUp(const std::string &peer);
    void linkDown(const std::string &peer);
    void updateArrived(const std::string &peer, const PeerUpdate &update);

    // Handles everything whose time has come; call it several times a second.
    void tick();

    // A planned stop: says goodbye on all links.
    void stop();

    // Actions since the last call, in order.
    std::vector<ReplicatorAction> takeActions();

    const ConfigHead &head() const { return m_head; }
    const VmList &list() const { return m_list; }
    bool isRelay() const { return m_place.relay; }
    bool readsPlatform() const { return m_reading; }
    std::size_t links() const { return m_links.size(); }
    bool isSuspected(const std::string &member) const { return m_liveness.isSuspected(member); }
    // When the process of a member was started, as far as known; zero otherwise.
    std::uint64_t bootOf(const std::string &member) const;
    // The members that this node counts on: listed and not suspected.
    std::vector<Member> members() const;

private:
    struct Link
    {
        TimePoint lastHeard{};
        TimePoint lastSent{};
        std::uint64_t headVersion = 0; // newest that the peer is known to have
        std::uint64_t listRevision = 0;
    };
    // A configuration that is not whole yet.
    struct Pending
    {
        ConfigHead head;
        std::string from; // peer that offered it; empty: the platform
        std::optional<std::vector<StoredPiece>> pieces; // without texts until all are there
        TimePoint askedAt{};
        std::size_t tries = 0;
    };

    void offerHead(const ConfigHead &head, const std::string &from);
    bool mustHearPeersFirst() const;
    bool applyByDelta(const ConfigHead &head);
    void askForParts();
    void takeBlob(const Blob &blob);
    void completePending();
    void apply(ConfigHead head, std::vector<StoredPiece> pieces);
    void offerList(const VmList &list, const std::string &from);
    void takeListDelta(const VmListDelta &delta, const std::string &from);
    void takeLiveness(const std::vector<LivenessRecord> &records, const std::string &from);
    void suspect(const std::string &member);
    void spreadLiveness(const std::vector<LivenessRecord> &records, const std::string &except);
    void announceSelf();
    void announceHead();
    bool getsWholeChanges(const std::string &peer) const;
    void askForNewer();
    void changed();
    void rearrange();
    void heartbeat();
    void lookForSilence();
    void lookForOrphanhood();
    void setReading(bool enabled);
    PeerUpdate baseUpdate() const;
    void send(const std::string &peer, PeerUpdate update);
    std::optional<std::string> blobOf(const std::string &sha256) const;
    std::string someLink(std::size_t n) const;
    const Member *listed(const std::string &name) const;

    Member m_self;
    std::uint64_t m_incarnation;
    const Clock &m_clock;
    const HeadCodec &m_codec;
    ReplicatorLimits m_limits;
    std::mt19937_64 m_random;
    ConfigHead m_head;
    std::vector<StoredPiece> m_pieces;
    std::string m_manifest; // encoded
    VmList m_list;
    LivenessTable m_liveness;
    struct Newer // a version that a peer has and this node was not sent yet
    {
        std::uint64_t version = 0;
        std::string peer;
        TimePoint since{};
    };

    std::optional<Newer> m_newer;
    std::optional<Pending> m_pending;
    std::optional<ConfigHead> m_firstHead; // of the platform, until a peer has spoken
    TimePoint m_started{};
    bool m_heardPeer = false;
    std::map<std::string, std::string> m_blobs; // parts of the pending configuration
    std::map<std::string, Link> m_links;
    std::map<std::string, TimePoint> m_silentSince; // expected peers without a link
    std::set<std::string> m_expected; // peers from whom heartbeats are due
    SpreadingPlace m_place;
    std::vector<Member> m_lastMembers;
    std::size_t m_lastListed = 0;
    bool m_membersChanged = false; // since the last call of takeActions()
    std::set<std::string> m_lastLeaving;
    std::vector<std::string> m_lastKept;
    bool m_reading = false;
    bool m_stopping = false;
    std::optional<TimePoint> m_aloneSince;
    Duration m_jitter{0};
    std::vector<ReplicatorAction> m_actions;
};

} // namespace fordwood

#endif // FORDWOOD_REPLICATOR_HPP_INCLUDED
