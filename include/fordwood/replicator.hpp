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

// A message from one node to another over a link. Most carry only the first two fields and serve
// as heartbeats.
struct PeerUpdate
{
    std::uint64_t headVersion = 0; // newest configuration known to the sender
    std::uint64_t listRevision = 0; // newest VM list known to the sender
    std::optional<ConfigHead> head;
    std::optional<VmListDelta> list;
    std::vector<LivenessRecord> liveness;
    std::vector<std::string> requestedDigests; // of blobs that the sender is missing
    std::vector<Blob> blobs;
    bool requestsHead = false; // the peer shall reply with its head
    bool requestsList = false; // the peer shall reply with its whole VM list
    bool leaving = false; // the sender closes this link on purpose
};

// --- Actions that the replicator requests from its caller ---

// Sends an update over the link to a peer.
struct SendUpdate
{
    std::string peer;
    PeerUpdate update;
};

// Opens links to exactly these peers. Other links that this node opened are to be closed.
struct SetOutgoingLinks
{
    std::vector<Member> peers;
};

// Starts or stops reading the head and the VM list from the platform.
struct SetPlatformReading
{
    bool enabled;
};

// Reads values from the platform by digest. The result is passed to onPlatformBlobs().
struct FetchBlobs
{
    std::vector<std::string> manifests;
    std::vector<std::string> pieces;
};

// Puts a complete, verified configuration into effect on this node.
struct ApplyConfiguration
{
    ConfigHead head;
    std::vector<StoredPiece> pieces;
};

// Puts changed members or leaving upstreams into effect.
struct ApplyMembers
{
    std::vector<Member> members; // listed and not suspected
    std::set<std::string> leavingUpstreams;
    std::size_t listed = 0; // members on the platform's list, suspected or not

    bool operator==(const ApplyMembers &) const = default;
};

// A condition to report to the operator.
struct ReplicatorAlarm
{
    enum class Kind { OlderHead, DamagedConfiguration, Orphaned };
    Kind kind;
    std::uint64_t offeredVersion = 0; // of the older head or of the damaged configuration
    std::uint64_t currentVersion = 0; // in effect on this node
};

using ReplicatorAction = std::variant<SendUpdate, SetOutgoingLinks, SetPlatformReading, FetchBlobs,
                                      ApplyConfiguration, ApplyMembers, ReplicatorAlarm>;

// Intervals and timeouts of the replicator.
struct ReplicatorTimings
{
    Duration heartbeat = std::chrono::seconds(2); // longest time without sending on a link
    Duration suspectAfter = std::chrono::seconds(7); // without a message from the peer
    Duration retryRequestAfter = std::chrono::seconds(1); // for parts that did not arrive
    Duration firstParentGrace = std::chrono::milliseconds(300); // before asking another peer
    Duration peerVersionWait = std::chrono::seconds(2); // of a new node; see mustWaitForPeers()
    Duration orphanAfter = std::chrono::seconds(10); // without links, before reading the platform
};

// Replicates the configuration, the VM list and the members' liveness to all nodes. A few relays
// per failure domain read the platform. All other nodes receive changes over a tree of links, as
// deltas that are verified by digest. Versions never decrease. The caller passes events in and
// carries out the resulting actions; the class does no I/O and starts no threads.
//
// Safety depends only on the platform's compare-and-swap. Even if nodes disagree about the tree or
// about each other's liveness, a configuration takes effect only when it is complete and matches
// the digests in its head, and never after a newer one.
class Replicator
{
public:
    // `boot` identifies the start of this process; later starts have higher numbers.
    Replicator(Member self, std::uint64_t boot, const Clock &clock, const HeadCodec &codec,
               ReplicatorTimings timings = {}, std::uint64_t seed = 1);

    // Starts reading the platform, which continues at least until the first VM list is known.
    void start();

    // --- from the platform ---
    void onPlatformHead(const ConfigHead &head);
    void onPlatformList(const VmList &list);
    void onPlatformBlobs(const std::vector<Blob> &blobs);

    // --- from peers ---
    void linkUp(const std::string &peer);
    void linkDown(const std::string &peer);
    void updateArrived(const std::string &peer, const PeerUpdate &update);

    // Handles timeouts. Call it several times a second.
    void tick();

    // Announces a planned stop on all links.
    void stop();

    // Actions since the last call, in order.
    std::vector<ReplicatorAction> takeActions();

    const ConfigHead &head() const { return m_configuration.head(); }
    const VmList &list() const { return m_members.list(); }
    bool isRelay() const { return m_position.isRelay; }
    bool readsPlatform() const { return m_readsPlatform; }
    std::size_t links() const { return m_peers.links().size(); }
    bool isSuspected(const std::string &member) const { return m_members.isSuspected(member); }
    // The boot number of a member's process; zero if it is not known.
    std::uint64_t bootOf(const std::string &member) const { return m_members.bootOf(member); }
    // The members that are listed and not suspected.
    std::vector<Member> members() const { return m_members.members(); }

private:
    // The state of the requests for the parts of the pending configuration.
    struct FetchState
    {
        std::string from; // the peer that offered it; empty: the platform
        TimePoint requestedAt{};
        std::size_t attempts = 0;
    };
    // A newer version that a peer has announced but not sent.
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
    std::optional<ConfigHead> m_deferredHead; // from the platform; see mustWaitForPeers()
    TimePoint m_started{};
    bool m_peerVersionSeen = false;
    bool m_membersChanged = false; // since the last call of takeActions()
    ApplyMembers m_lastMembers; // of the last ApplyMembers action
    std::vector<std::string> m_lastLinks; // of the last SetOutgoingLinks action
    bool m_readsPlatform = false;
    bool m_stopping = false;
    std::optional<TimePoint> m_noLinksSince;
    Duration m_jitter{0};
    std::vector<ReplicatorAction> m_actions;
};

} // namespace fordwood

#endif // FORDWOOD_REPLICATOR_HPP_INCLUDED
