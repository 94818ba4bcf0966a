// SPDX-License-Identifier: MIT
// Unit tests of the classes that the dispatcher and the replicator consist of.
#include <doctest/doctest.h>

#include "adapters/platform/proto_head_codec.hpp"
#include "fordwood/configuration_copy.hpp"
#include "fordwood/key_claims.hpp"
#include "fordwood/manual_clock.hpp"
#include "fordwood/member_table.hpp"
#include "fordwood/peer_table.hpp"
#include "fordwood/team_admission.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

// A configuration of three pieces in its stored form.
struct StoredConfiguration
{
    explicit StoredConfiguration(std::uint64_t version)
    {
        for (const std::string name : {"a", "b", "c"}) {
            const std::string text = name + std::to_string(version);
            pieces.push_back({name, codec.digest(text), text});
        }
        manifest = codec.encodeManifest(pieces);
        head.version = version;
        head.manifestSha256 = codec.digest(manifest);
    }
    Blob manifestBlob() const { return {head.manifestSha256, manifest}; }
    std::vector<Blob> pieceBlobs() const
    {
        std::vector<Blob> blobs;
        for (const StoredPiece &it : pieces)
            blobs.push_back({it.sha256, it.text});
        return blobs;
    }

    adapters::ProtoHeadCodec codec;
    std::vector<StoredPiece> pieces;
    std::string manifest;
    ConfigHead head;
};

MemberTable tableOf(const std::vector<std::string> &names)
{
    MemberTable table("self", 1);
    VmList list;
    list.revision = 1;
    for (const std::string &it : names)
        list.entryVms.push_back({it, "x", "r", "127.0.0.1:1", false});
    table.update(list);
    return table;
}

// Records admitted and refused calls.
struct RecordingListener : TeamAdmission::Listener
{
    void onAdmitted(CallId call) override { in.push_back(call); }
    void onRefused(CallId call) override { out.push_back(call); }

    std::vector<CallId> in;
    std::vector<CallId> out;
};

// One team with a ceiling of two requests, and two members.
std::shared_ptr<const FleetView> viewWithCeiling()
{
    auto configuration = std::make_shared<Configuration>();
    configuration->failureDomains["x"] = {"x", "r"};
    configuration->teams["t"].name = "t";
    configuration->teams["t"].maxRunning = 2;
    return std::make_shared<const FleetView>(
        1, configuration,
        std::vector<Member>{{"n1", "x", "r", "127.0.0.1:2", false},
                            {"n2", "x", "r", "127.0.0.1:3", false}},
        std::set<std::string>{}, "x", 2);
}

} // namespace

TEST_CASE("configuration copy: takes effect only when complete, manifest first [replicator]")
{
    const StoredConfiguration stored(3);
    ConfigurationCopy copy(stored.codec);
    CHECK(copy.offer(stored.head) == ConfigurationCopy::OfferResult::NeedsParts);
    CHECK(copy.missing().manifests == std::vector<std::string>{stored.head.manifestSha256});
    CHECK(copy.addBlobs({stored.manifestBlob()}) == ConfigurationCopy::Progress::NeedsParts);
    CHECK(copy.missing().pieces.size() == 3);

    std::vector<Blob> blobs = stored.pieceBlobs();
    const Blob last = blobs.back();
    blobs.pop_back();
    CHECK(copy.addBlobs(blobs) == ConfigurationCopy::Progress::NeedsParts);
    CHECK(copy.head().version == 0);
    CHECK(copy.addBlobs({last}) == ConfigurationCopy::Progress::Applied);
    CHECK(copy.head().version == 3);
    CHECK(copy.findBytes(last.sha256) == last.bytes);
}

TEST_CASE("configuration copy: bytes that do not match their digest are ignored "
          "[replicator][bad-input]")
{
    const StoredConfiguration stored(1);
    ConfigurationCopy copy(stored.codec);
    copy.offer(stored.head);
    CHECK(copy.addBlobs({{stored.head.manifestSha256, "other bytes"}})
          == ConfigurationCopy::Progress::Idle);
    CHECK(copy.pendingVersion() == 1);
}

TEST_CASE("configuration copy: an older head and the pending head change nothing "
          "[replicator]")
{
    const StoredConfiguration older(1);
    const StoredConfiguration newer(2);
    ConfigurationCopy copy(newer.codec);
    copy.offer(newer.head);
    CHECK(copy.offer(older.head) == ConfigurationCopy::OfferResult::AlreadyKnown);
    CHECK(copy.offer(newer.head) == ConfigurationCopy::OfferResult::AlreadyKnown);
    copy.addBlobs({newer.manifestBlob()});
    CHECK(copy.addBlobs(newer.pieceBlobs()) == ConfigurationCopy::Progress::Applied);
    CHECK(copy.offer(older.head) == ConfigurationCopy::OfferResult::Older);
    CHECK(copy.head().version == 2);
}

TEST_CASE("members: a suspicion of this process is refuted, others are stored "
          "[replicator]")
{
    MemberTable table = tableOf({"other", "self"});
    const LivenessRecord ownSuspicion{"self", (1ULL << 10) + 7, true};
    const LivenessRecord otherSuspicion{"other", 5ULL << 10, true};
    const MemberTable::MergeResult result = table.update({ownSuspicion, otherSuspicion});
    CHECK(result.isSelfSuspected);
    CHECK(result.membersChanged);
    CHECK(result.records == std::vector<LivenessRecord>{otherSuspicion});
    CHECK(table.refuteSuspicion().incarnation > ownSuspicion.incarnation);
    REQUIRE(table.members().size() == 1);
    CHECK(table.members().front().name == "self");
    CHECK(table.bootOf("other") == 5);
}

TEST_CASE("members: only listed members are suspected, and only once [replicator]")
{
    MemberTable table = tableOf({"other", "self"});
    CHECK_FALSE(table.makeSuspicion("stranger"));
    const auto record = table.makeSuspicion("other");
    REQUIRE(record);
    CHECK(record->suspected);
    table.update({*record});
    CHECK_FALSE(table.makeSuspicion("other"));
}

TEST_CASE("peers: an expected peer without a link counts as silent since it was expected "
          "[replicator]")
{
    ManualClock clock;
    PeerTable peers(clock);
    peers.setExpected({"a", "b"});
    peers.addLink("b");
    clock.advance(4s);
    CHECK(peers.silentFor(5s).empty());
    peers.find("b")->lastReceived = clock.now();
    clock.advance(2s);
    CHECK(peers.silentFor(5s) == std::vector<std::string>{"a"});
    CHECK(peers.sentNothingFor(5s) == std::vector<std::string>{"b"});
    peers.setExpected({"b"});
    CHECK(peers.silentFor(5s).empty());
}

TEST_CASE(
    "peers: a peer that closed on purpose is not silent, one whose link broke is [replicator]")
{
    ManualClock clock;
    PeerTable peers(clock);
    peers.addLink("a");
    peers.addLink("b");
    peers.setExpected({"a", "b"});
    peers.closedByPeer("a");
    CHECK(peers.removeLink("b"));
    CHECK_FALSE(peers.removeLink("b"));
    clock.advance(8s);
    CHECK(peers.silentFor(7s) == std::vector<std::string>{"b"});
}

TEST_CASE("key claims: the holder is notified when a granted or an abandoned call ends "
          "[dispatcher]")
{
    ManualClock clock;
    std::vector<Action> actions;
    KeyClaims claims(clock, 500ms, actions);
    const Member holder{"h", "x", "r", "127.0.0.1:1", false};
    claims.open(1, {"t", "granted"}, holder);
    claims.open(2, {"t", "given up"}, holder);
    const auto firstId = std::get<ClaimKey>(actions.at(0)).claimId;
    CHECK(claims.onAnswer(firstId) == CallId{1});
    CHECK_FALSE(claims.onAnswer(firstId));
    claims.grant(1);
    CHECK(claims.openAt("h") == std::vector<CallId>{2});
    clock.advance(600ms);
    CHECK(claims.isOverdue(2));
    CHECK_FALSE(claims.isOverdue(1));
    actions.clear();
    claims.finish(1, RunState::Ran, {});
    claims.finish(2, RunState::MayHaveRun, {});
    claims.finish(3, RunState::Ran, {}); // has no key
    REQUIRE(actions.size() == 2);
    CHECK(std::get<FinishClaim>(actions[0]).state == RunState::Ran);
    CHECK(std::get<FinishClaim>(actions[1]).state == RunState::NotRun);
}

TEST_CASE("team admission: a call above the node's share waits for the owner, and a withdrawn one "
          "uses no allowance [dispatcher]")
{
    ManualClock clock;
    std::vector<Action> actions;
    RecordingListener listener;
    TeamAdmission admission(clock, 500ms, listener, actions);
    admission.setView(viewWithCeiling());
    for (CallId it = 1; it <= 20; ++it)
        admission.admit(it, "t");
    REQUIRE(listener.in.size() < 20);
    REQUIRE(actions.size() == 1);
    const CallId firstWaiting = listener.in.size() + 1;
    const CallId secondWaiting = firstWaiting + 1;
    admission.withdraw(firstWaiting, "t");
    Allowance allowance;
    allowance.amount = 1;
    allowance.life = 3s;
    const auto &ask = std::get<RequestAllowance>(actions.front()).ask;
    admission.onAnswer("t", ask.requestId, allowance);
    CHECK(listener.in.back() == secondWaiting);
    CHECK(listener.out.size() + listener.in.size() == 19);
}

TEST_CASE(
    "team admission: without a reply of the owner the node uses only its own share [dispatcher]")
{
    ManualClock clock;
    std::vector<Action> actions;
    RecordingListener listener;
    TeamAdmission admission(clock, 500ms, listener, actions);
    admission.setView(viewWithCeiling());
    for (CallId it = 1; it <= 5; ++it)
        admission.admit(it, "t");
    const std::size_t own = listener.in.size();
    clock.advance(600ms);
    admission.tick();
    CHECK(listener.in.size() == own);
    CHECK(listener.out.size() == 5 - own);
}
