// SPDX-License-Identifier: MIT
// The parts that the dispatcher and the replicator are made of, each by itself.
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

// A configuration of three pieces, as the platform stores it.
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
    table.take(list);
    return table;
}

// Hears of admissions.
struct Admitted : TeamAdmission::Listener
{
    void entered(CallId call) override { in.push_back(call); }
    void refused(CallId call) override { out.push_back(call); }

    std::vector<CallId> in;
    std::vector<CallId> out;
};

// One team that may run one request, owned by another node.
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

TEST_CASE("configuration copy: comes into force only whole, manifest first [replicator]")
{
    const StoredConfiguration stored(3);
    ConfigurationCopy copy(stored.codec);
    CHECK(copy.offer(stored.head) == ConfigurationCopy::Offer::NeedsParts);
    CHECK(copy.missing().manifests == std::vector<std::string>{stored.head.manifestSha256});
    CHECK(copy.take({stored.manifestBlob()}) == ConfigurationCopy::Progress::NeedsParts);
    CHECK(copy.missing().pieces.size() == 3);

    std::vector<Blob> blobs = stored.pieceBlobs();
    const Blob last = blobs.back();
    blobs.pop_back();
    CHECK(copy.take(blobs) == ConfigurationCopy::Progress::NeedsParts);
    CHECK(copy.head().version == 0);
    CHECK(copy.take({last}) == ConfigurationCopy::Progress::InForce);
    CHECK(copy.head().version == 3);
    CHECK(copy.bytesOf(last.sha256) == last.bytes);
}

TEST_CASE("configuration copy: bytes that are not those of their digest are passed over "
          "[replicator][bad-input]")
{
    const StoredConfiguration stored(1);
    ConfigurationCopy copy(stored.codec);
    copy.offer(stored.head);
    CHECK(copy.take({{stored.head.manifestSha256, "other bytes"}})
          == ConfigurationCopy::Progress::Idle);
    CHECK(copy.collecting() == 1);
}

TEST_CASE("configuration copy: an older head and one that is being collected change nothing "
          "[replicator]")
{
    const StoredConfiguration older(1);
    const StoredConfiguration newer(2);
    ConfigurationCopy copy(newer.codec);
    copy.offer(newer.head);
    CHECK(copy.offer(older.head) == ConfigurationCopy::Offer::Known);
    CHECK(copy.offer(newer.head) == ConfigurationCopy::Offer::Known);
    copy.take({newer.manifestBlob()});
    CHECK(copy.take(newer.pieceBlobs()) == ConfigurationCopy::Progress::InForce);
    CHECK(copy.offer(older.head) == ConfigurationCopy::Offer::Older);
    CHECK(copy.head().version == 2);
}

TEST_CASE("members: a suspicion of this process is answered above it, others' are believed "
          "[replicator]")
{
    MemberTable table = tableOf({"other", "self"});
    const LivenessRecord ownDeath{"self", (1ULL << 10) + 7, true};
    const LivenessRecord othersDeath{"other", 5ULL << 10, true};
    const MemberTable::News news = table.take({ownDeath, othersDeath});
    CHECK(news.selfSuspected);
    CHECK(news.membersChanged);
    CHECK(news.records == std::vector<LivenessRecord>{othersDeath});
    CHECK(table.answerSuspicion().incarnation > ownDeath.incarnation);
    REQUIRE(table.members().size() == 1);
    CHECK(table.members().front().name == "self");
    CHECK(table.bootOf("other") == 5);
}

TEST_CASE("members: only who is on the list is suspected, and only once [replicator]")
{
    MemberTable table = tableOf({"other", "self"});
    CHECK_FALSE(table.suspicionOf("stranger"));
    const auto record = table.suspicionOf("other");
    REQUIRE(record);
    CHECK(record->suspected);
    table.take({*record});
    CHECK_FALSE(table.suspicionOf("other"));
}

TEST_CASE("peers: an expected peer without a link is silent from when it was expected "
          "[replicator]")
{
    ManualClock clock;
    PeerTable peers(clock);
    peers.expect({"a", "b"});
    peers.up("b");
    clock.advance(4s);
    CHECK(peers.silentFor(5s).empty());
    peers.find("b")->lastHeard = clock.now();
    clock.advance(2s);
    CHECK(peers.silentFor(5s) == std::vector<std::string>{"a"});
    CHECK(peers.unsentFor(5s) == std::vector<std::string>{"b"});
    peers.expect({"b"});
    CHECK(peers.silentFor(5s).empty());
}

TEST_CASE("peers: one that closes on purpose is not missed, one that breaks off is [replicator]")
{
    ManualClock clock;
    PeerTable peers(clock);
    peers.up("a");
    peers.up("b");
    peers.expect({"a", "b"});
    peers.closedByPeer("a");
    CHECK(peers.down("b"));
    CHECK_FALSE(peers.down("b"));
    clock.advance(8s);
    CHECK(peers.silentFor(7s) == std::vector<std::string>{"b"});
}

TEST_CASE("key claims: the holder hears of the end of what it granted, and of what was given up "
          "[dispatcher]")
{
    ManualClock clock;
    std::vector<Action> actions;
    KeyClaims claims(clock, 500ms, actions);
    const Member holder{"h", "x", "r", "127.0.0.1:1", false};
    claims.open(1, {"t", "granted"}, holder);
    claims.open(2, {"t", "given up"}, holder);
    const auto firstId = std::get<ClaimKey>(actions.at(0)).claimId;
    CHECK(claims.answered(firstId) == CallId{1});
    CHECK_FALSE(claims.answered(firstId));
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

TEST_CASE("team admission: a call above the node's part waits for the owner, and one that has left "
          "takes no place [dispatcher]")
{
    ManualClock clock;
    std::vector<Action> actions;
    Admitted heard;
    TeamAdmission admission(clock, 500ms, heard, actions);
    admission.setView(viewWithCeiling());
    for (CallId it = 1; it <= 20; ++it)
        admission.admit(it, "t");
    REQUIRE(heard.in.size() < 20);
    REQUIRE(actions.size() == 1);
    const CallId firstWaiting = heard.in.size() + 1;
    const CallId secondWaiting = firstWaiting + 1;
    admission.withdraw(firstWaiting, "t");
    Allowance allowance;
    allowance.amount = 1;
    allowance.life = 3s;
    const auto &ask = std::get<RequestAllowance>(actions.front()).ask;
    admission.answered("t", ask.askId, allowance);
    CHECK(heard.in.back() == secondWaiting);
    CHECK(heard.out.size() + heard.in.size() == 19);
}

TEST_CASE("team admission: a silent owner leaves the node its own part [dispatcher]")
{
    ManualClock clock;
    std::vector<Action> actions;
    Admitted heard;
    TeamAdmission admission(clock, 500ms, heard, actions);
    admission.setView(viewWithCeiling());
    for (CallId it = 1; it <= 5; ++it)
        admission.admit(it, "t");
    const std::size_t own = heard.in.size();
    clock.advance(600ms);
    admission.tick();
    CHECK(heard.in.size() == own);
    CHECK(heard.out.size() == 5 - own);
}
