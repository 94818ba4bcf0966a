// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_REPLICATOR_HPP_INCLUDED
#define FORDWOOD_REPLICATOR_HPP_INCLUDED

#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/config_head.hpp"
#include "fordwood/configuration_copy.hpp"
#include "fordwood/distribution_tree.hpp"
#include "fordwood/liveness.hpp"
#include "fordwood/member_table.hpp"
#include "fordwood/peer_table.hpp"
#include "fordwood/submission.hpp"
#include "fordwood/vm_list.hpp"

namespace fordwood {

// What one node tells another. Most carry only the first two fields: a heartbeat.
struct PeerUpdate
{
    std::uint64_t headVersion = 0; // newest configuration known to the sender
    std::uint64_t listRevision = 0; // newest VM list known to the sender
    std::optional<ConfigHead> head;
    std::optional<VmListDelta> list;
    std::vector<LivenessRecord> liveness;
    std::vector<std::string> requestedDigests; // digests that the sender would like to have
    std::vector<Blob> blobs;
    bool requestsHead = false;
    bool requestsList = false;
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
struct SetOutgoingLinks
{
    std::vector<Member> peers;
};

// Whether this node reads the platform by itself (head and VM list).
struct SetPlatformReading
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

    bool operator==(const ApplyMembers &) const = default;
};

// Something an operator should hear of.
struct ReplicatorAlarm
{
    enum class Kind { OlderHead, DamagedConfiguration, Orphaned };
    Kind kind;
    std::uint64_t offeredVersion = 0;
    std::uint64_t currentVersion = 0;
};

using ReplicatorAction = std::variant<SendUpdate, SetOutgoingLinks, SetPlatformReading, FetchBlobs,
                                      ApplyConfiguration, ApplyMembers, ReplicatorAlarm>;

// The times that the replicator keeps to.
struct ReplicatorTimings
{
    Duration heartbeat = std::chrono::seconds(2);
    Duration suspectAfter = std::chrono::seconds(7); // of silence
    Duration retryRequestAfter = std::chrono::seconds(1); // for parts that did not come
    Duration firstParentGrace = std::chrono::milliseconds(300); // before another link is asked
    Duration peerVersionWait
        = std::chrono::seconds(2); // a fresh node waits so long for a peer's version
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
               ReplicatorTimings timings = {}, std::uint64_t seed = 1);

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

    const ConfigHead &head() const { return m_configuration.head(); }
    const VmList &list() const { return m_members.list(); }
    bool isRelay() const { return m_position.relay; }
    bool readsPlatform() const { return m_readsPlatform; }
    std::size_t links() const { return m_peers.links().size(); }
    bool isSuspected(const std::string &member) const { return m_members.isSuspected(member); }
    // When the process of a member was started, as far as known; zero otherwise.
    std::uint64_t bootOf(const std::string &member) const { return m_members.bootOf(member); }
    // The members that this node counts on: listed and not suspected.
    std::vector<Member> members() const { return m_members.members(); }

private:
    // Who offered the configuration that is being collected, and how its parts were asked for.
    struct FetchState
    {
        std::string from; // a peer; empty: the platform
        TimePoint requestedAt{};
        std::size_t attempts = 0;
    };
    // A version that a peer has and this node was not sent yet.
    struct NewerVersion
    {
        std::uint64_t version = 0;
        std::string peer;
        TimePoint since{};
    };

    // Configuration
    void offerHead(const ConfigHead &head, const std::string &from);
    bool mustWaitForPeers() const;
    void requestParts();
    void receiveBlobs(const std::vector<Blob> &blobs);
    void announceConfiguration();
    void announceHead();
    bool sendsWholeHeadTo(const std::string &peer) const;
    void requestNewerHead();
    // VM list and members
    void offerList(const VmList &list, const std::string &from);
    void applyListDelta(const VmListDelta &delta, const std::string &from);
    void mergeLiveness(const std::vector<LivenessRecord> &records, const std::string &from);
    void suspect(const std::string &member);
    void sendLiveness(const std::vector<LivenessRecord> &records, const std::string &except);
    void updateMembers();
    void updateTreePosition();
    // Links
    void sendReply(const std::string &peer, PeerTable::Link &link, const PeerUpdate &update);
    void recordNewerVersion(const std::string &peer, const PeerUpdate &update);
    void sendHeartbeats();
    void suspectSilentPeers();
    void checkOrphaned();
    void setPlatformReading(bool enabled);
    PeerUpdate baseUpdate() const;
    void send(const std::string &peer, PeerUpdate update);

    const Member m_self;
    const Clock &m_clock;
    const ReplicatorTimings m_timings;
    std::mt19937_64 m_random;
    ConfigurationCopy m_configuration;
    MemberTable m_members;
    PeerTable m_peers;
    TreePosition m_position;
    FetchState m_fetch;
    std::optional<NewerVersion> m_newerVersion;
    std::optional<ConfigHead> m_deferredHead; // of the platform, until a peer has spoken
    TimePoint m_started{};
    bool m_peerVersionSeen = false;
    bool m_membersChanged = false; // since the last call of takeActions()
    ApplyMembers m_lastMembers; // as last told
    std::vector<std::string> m_lastLinks; // links, as last told
    bool m_readsPlatform = false;
    bool m_stopping = false;
    std::optional<TimePoint> m_noLinksSince;
    Duration m_jitter{0};
    std::vector<ReplicatorAction> m_actions;
};

} // namespace fordwood

#endif // FORDWOOD_REPLICATOR_HPP_INCLUDED
