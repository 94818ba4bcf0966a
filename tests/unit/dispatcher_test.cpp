// SPDX-License-Identifier: MIT
#include "fordwood/dispatcher.hpp"

#include <map>

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

// A dispatcher with two engines in one failure domain and one owner.
struct Fixture
{
    ManualClock clock;
    Dispatcher dispatcher{clock, limits()};
    std::vector<Action> actions;

    static DispatcherLimits limits()
    {
        DispatcherLimits limits;
        limits.node = "n1";
        return limits;
    }

    explicit Fixture(int engines = 2) { setFleet(engines, {}); }

    // `further`: members besides the owner of the engines.
    void setFleet(int engines, const std::set<std::string> &leaving,
                  const std::vector<Member> &further = {})
    {
        std::vector<Member> members{{"n1", "a", "r", "127.0.0.1:2", false}};
        members.insert(members.end(), further.begin(), further.end());
        auto configuration = std::make_shared<Configuration>();
        configuration->failureDomains["a"] = {"a", "r"};
        configuration->models["m"] = {"m", "v1"};
        for (int it = 0; it < engines; ++it) {
            UpstreamConfig upstream;
            upstream.name = "e" + std::to_string(it);
            upstream.failureDomain = "a";
            upstream.address = "127.0.0.1:1";
            upstream.models = {"m"};
            upstream.slots = 1;
            configuration->upstreams[upstream.name] = upstream;
        }
        dispatcher.setView(
            std::make_shared<const FleetView>(1, configuration, std::move(members), leaving, "a"));
    }

    void begin(CallId id, bool repeatable = true)
    {
        CallRequest request;
        request.id = id;
        request.team = "t";
        request.target = "m";
        request.repeatable = repeatable;
        request.fingerprint = {1, 2};
        request.deadline = clock.now() + 30s;
        dispatcher.begin(request);
    }

    // Takes all actions and returns the last one of type T, if any.
    template <typename T>
    std::optional<T> last()
    {
        for (Action &it : dispatcher.takeActions())
            actions.push_back(std::move(it));
        std::optional<T> found;
        for (const Action &it : actions) {
            if (const T *action = std::get_if<T>(&it))
                found = *action;
        }
        actions.clear();
        return found;
    }

    void grantLast()
    {
        const auto ask = last<RequestPermit>();
        REQUIRE(ask);
        PermitReply reply;
        reply.requestId = ask->requestId;
        reply.granted = true;
        reply.permitId = ++permits;
        reply.sendWithin = 2s;
        dispatcher.permitAnswered("n1", reply);
    }

    std::uint64_t permits = 0;
};

} // namespace

TEST_CASE("dispatcher: a granted call is sent and its permit released [permits]")
{
    Fixture fixture;
    fixture.begin(1);
    fixture.grantLast();
    const auto send = fixture.last<SendCall>();
    REQUIRE(send);
    CHECK(send->sendBy == fixture.clock.now() + 2s);
    fixture.dispatcher.attemptFinished(1, send->attempt, 42.0);
    const auto release = fixture.last<ReleasePermit>();
    REQUIRE(release);
    CHECK(release->permitId == 1);
    CHECK(release->cost == 42.0);
    CHECK(fixture.dispatcher.calls() == 0);
}

TEST_CASE("dispatcher: a call that may have run is retried only if it is repeatable [at-most-once]")
{
    for (const bool repeatable : {false, true}) {
        CAPTURE(repeatable);
        Fixture fixture;
        fixture.begin(1, repeatable);
        fixture.grantLast();
        const auto send = fixture.last<SendCall>();
        fixture.dispatcher.attemptFailed(1, send->attempt,
                                         {RunState::MayHaveRun, Reason::UpstreamBroke, "", false});
        if (repeatable) {
            CHECK(fixture.last<RequestPermit>());
        } else {
            const auto end = fixture.last<EndCall>();
            REQUIRE(end);
            CHECK(end->verdict.state == RunState::MayHaveRun);
        }
    }
}

TEST_CASE("dispatcher: a call continues when the node asked no longer owns the upstream [permits]")
{
    Fixture fixture;
    fixture.begin(1);
    const auto ask = fixture.last<RequestPermit>();
    REQUIRE(ask);
    PermitReply reply;
    reply.requestId = ask->requestId;
    reply.reason = Reason::NotOwner;
    fixture.dispatcher.permitAnswered("n1", reply);
    // This node's view still names the same owner, which leaves only the small local allowance.
    CHECK(fixture.last<SendCall>());
}

TEST_CASE("dispatcher: a call that did not run is retried at another upstream [retry]")
{
    Fixture fixture;
    fixture.begin(1, false);
    fixture.grantLast();
    const auto first = fixture.last<SendCall>();
    fixture.dispatcher.attemptFailed(1, first->attempt,
                                     {RunState::NotRun, Reason::ConnectFailed, "", false});
    fixture.grantLast();
    const auto second = fixture.last<SendCall>();
    REQUIRE(second);
    CHECK(second->upstream != first->upstream);
}

TEST_CASE(
    "dispatcher: a refusal after an attempt that may have run does not report not-run [not-run]")
{
    Fixture fixture;
    fixture.begin(1, true);
    fixture.grantLast();
    const auto send = fixture.last<SendCall>();
    fixture.dispatcher.attemptFailed(1, send->attempt,
                                     {RunState::MayHaveRun, Reason::UpstreamBroke, "", false});
    const auto ask = fixture.last<RequestPermit>();
    REQUIRE(ask);
    PermitReply denial;
    denial.requestId = ask->requestId;
    denial.reason = Reason::DeadlineTooNear;
    fixture.dispatcher.permitAnswered("n1", denial);
    const auto end = fixture.last<EndCall>();
    REQUIRE(end);
    CHECK(end->verdict.reason == Reason::DeadlineTooNear);
    CHECK(end->verdict.state == RunState::MayHaveRun);
}

TEST_CASE("dispatcher: an answer that has begun is never restarted [whole-answers]")
{
    Fixture fixture;
    fixture.begin(1, true);
    fixture.grantLast();
    const auto send = fixture.last<SendCall>();
    fixture.dispatcher.attemptFailed(1, send->attempt,
                                     {RunState::MayHaveRun, Reason::AnswerCut, "", true});
    const auto end = fixture.last<EndCall>();
    REQUIRE(end);
    CHECK(end->verdict.reason == Reason::AnswerCut);
}

TEST_CASE("dispatcher: a permit left unread while the node was paused is not used late [leaving]")
{
    Fixture fixture;
    fixture.begin(1);
    const auto ask = fixture.last<RequestPermit>();
    fixture.clock.advance(10s); // the grant arrived at once but was not read
    PermitReply reply;
    reply.requestId = ask->requestId;
    reply.granted = true;
    reply.permitId = 1;
    reply.sendWithin = 2s;
    fixture.dispatcher.permitAnswered("n1", reply);
    const auto send = fixture.last<SendCall>();
    REQUIRE(send);
    CHECK(send->sendBy < fixture.clock.now());
}

TEST_CASE("dispatcher: a permit is released if its upstream starts leaving meanwhile [leaving]")
{
    Fixture fixture(1);
    fixture.begin(1);
    const auto ask = fixture.last<RequestPermit>();
    fixture.setFleet(1, {"e0"});
    PermitReply reply;
    reply.requestId = ask->requestId;
    reply.granted = true;
    reply.permitId = 9;
    reply.sendWithin = 2s;
    fixture.dispatcher.permitAnswered("n1", reply);
    bool sent = false;
    bool released = false;
    std::optional<Verdict> verdict;
    for (const Action &it : fixture.dispatcher.takeActions()) {
        sent = sent || std::holds_alternative<SendCall>(it);
        released = released || std::holds_alternative<ReleasePermit>(it);
        if (const auto *end = std::get_if<EndCall>(&it))
            verdict = end->verdict;
    }
    CHECK_FALSE(sent);
    CHECK(released);
    REQUIRE(verdict);
    CHECK(verdict->state == RunState::NotRun);
    CHECK(verdict->reason == Reason::UpstreamLeaving);
}

TEST_CASE("dispatcher: calls of a lost owner use a bounded local allowance [owner]")
{
    Fixture fixture(1);
    fixture.begin(1);
    fixture.begin(2);
    fixture.dispatcher.takeActions();
    fixture.dispatcher.ownerLost("n1");
    int sent = 0;
    int refused = 0;
    for (const Action &it : fixture.dispatcher.takeActions()) {
        sent += std::holds_alternative<SendCall>(it) ? 1 : 0;
        refused += std::holds_alternative<EndCall>(it) ? 1 : 0;
    }
    CHECK(sent == 1);
    CHECK(refused == 1);
}

TEST_CASE("dispatcher: the retry budget limits the retries of a team's calls [retry]")
{
    Fixture fixture;
    int retries = 0;
    for (CallId id = 1; id <= 200; ++id) {
        fixture.begin(id, true);
        fixture.grantLast();
        const auto send = fixture.last<SendCall>();
        fixture.dispatcher.attemptFailed(id, send->attempt,
                                         {RunState::NotRun, Reason::UpstreamPushback, "", false});
        if (fixture.last<RequestPermit>())
            ++retries;
    }
    CHECK(retries >= 20);
    CHECK(retries <= 32);
}

TEST_CASE("dispatcher: when the caller leaves, the attempt is cancelled and the permit released")
{
    Fixture fixture;
    fixture.begin(1);
    fixture.grantLast();
    fixture.dispatcher.takeActions();
    fixture.dispatcher.callerLeft(1);
    bool cancelled = false;
    bool released = false;
    for (const Action &it : fixture.dispatcher.takeActions()) {
        cancelled = cancelled || std::holds_alternative<CancelAttempt>(it);
        released = released || std::holds_alternative<ReleasePermit>(it);
    }
    CHECK(cancelled);
    CHECK(released);
    CHECK(fixture.dispatcher.calls() == 0);
}

TEST_CASE("dispatcher: a late grant for a call that has ended is released [permits]")
{
    Fixture fixture;
    fixture.begin(1);
    const auto ask = fixture.last<RequestPermit>();
    fixture.dispatcher.callerLeft(1);
    fixture.dispatcher.takeActions();
    PermitReply reply;
    reply.requestId = ask->requestId;
    reply.granted = true;
    reply.permitId = 5;
    fixture.dispatcher.permitAnswered("n1", reply);
    const auto release = fixture.last<ReleasePermit>();
    REQUIRE(release);
    CHECK(release->permitId == 5);
}

TEST_CASE("dispatcher: a lost owner is informed of the requests it had admitted [owner][recovery]")
{
    Fixture fixture;
    fixture.begin(1);
    fixture.grantLast();
    fixture.last<SendCall>();
    fixture.dispatcher.ownerLost("n1");
    fixture.begin(2); // sent to the owner's next process
    std::optional<AdoptPermit> hold;
    for (const Action &it : fixture.dispatcher.takeActions()) {
        if (const auto *action = std::get_if<AdoptPermit>(&it))
            hold = *action;
        if (std::holds_alternative<RequestPermit>(it))
            CHECK(hold); // the running request is registered before the next permit is requested
    }
    REQUIRE(hold);
    fixture.dispatcher.attemptFinished(1, 1, 7.0);
    const auto release = fixture.last<ReleasePermit>();
    REQUIRE(release);
    CHECK(release->owner == "n1");
    CHECK(release->permitId == hold->permitId);
}

namespace {

// Runs three calls of the same request one after the other, each of which makes its upstream break
// off. An upstream has restarted under its name by the next call. Returns the next unused call id.
CallId breakThreeUpstreams(Fixture &fixture, CallId id)
{
    for (int n = 0; n < 3; ++n) {
        fixture.clock.advance(5s);
        fixture.begin(id, false);
        fixture.grantLast();
        const auto send = fixture.last<SendCall>();
        REQUIRE(send);
        fixture.dispatcher.attemptFailed(id, send->attempt,
                                         {RunState::MayHaveRun, Reason::UpstreamBroke, "", false});
        CHECK(fixture.last<EndCall>()->verdict.state == RunState::MayHaveRun);
        ++id;
    }
    return id;
}

} // namespace

// An entry daemon kept sending a request to engines each time its caller repeated it, although
// several engines had already broken off under it, since each call was judged alone. The node
// daemon quarantined such a request after three engines.
TEST_CASE("dispatcher: a request is refused after three upstreams broke off under it, others are "
          "not [quarantine]")
{
    Fixture fixture;
    const CallId id = breakThreeUpstreams(fixture, 1);
    fixture.begin(id, false);
    const auto end = fixture.last<EndCall>();
    REQUIRE(end);
    CHECK(end->verdict.reason == Reason::RequestQuarantined);
    CHECK(end->verdict.state == RunState::NotRun);
    CHECK(end->verdict.retryAfter > 9min);
    CHECK(fixture.dispatcher.calls() == 0);

    CallRequest other;
    other.id = id + 1;
    other.team = "t";
    other.target = "m";
    other.deadline = fixture.clock.now() + 30s;
    other.fingerprint = {7, 7};
    fixture.dispatcher.begin(other);
    CHECK(fixture.last<RequestPermit>());
}

TEST_CASE("dispatcher: copies of a request that one upstream breaks off count as one failure "
          "[quarantine]")
{
    Fixture fixture;
    for (CallId id = 1; id <= 5; ++id) {
        fixture.begin(id, false);
        fixture.grantLast();
        const auto send = fixture.last<SendCall>();
        REQUIRE(send);
        fixture.dispatcher.attemptFailed(id, send->attempt,
                                         {RunState::MayHaveRun, Reason::UpstreamBroke, "", false});
        fixture.last<EndCall>();
    }
    fixture.begin(6, false);
    CHECK(fixture.last<RequestPermit>());
}

TEST_CASE("dispatcher: a call waiting for its permit is not sent once its request is quarantined "
          "[quarantine]")
{
    Fixture fixture;
    fixture.begin(1, false);
    const auto ask = fixture.last<RequestPermit>();
    REQUIRE(ask);
    breakThreeUpstreams(fixture, 2);
    PermitReply reply;
    reply.requestId = ask->requestId;
    reply.granted = true;
    reply.permitId = 99;
    reply.sendWithin = 1min;
    fixture.dispatcher.permitAnswered("n1", reply);
    const auto end = fixture.last<EndCall>();
    REQUIRE(end);
    CHECK(end->verdict.reason == Reason::RequestQuarantined);
    CHECK(fixture.dispatcher.calls() == 0);
}

// Load pattern: an overloaded engine, and callers that send ten requests per second to one of its
// daemons.
TEST_CASE("dispatcher: an upstream with a rate limit gets this daemon's share, and calls beyond it "
          "are refused at once [limit]")
{
    for (const int others : {0, 3}) {
        CAPTURE(others);
        Fixture fixture(1);
        std::vector<Member> further;
        further.reserve(static_cast<std::size_t>(others));
        for (int n = 0; n < others; ++n)
            further.push_back({"m" + std::to_string(n), "b", "r", "127.0.0.1:3", false});
        fixture.setFleet(1, {}, further);
        constexpr double kLimit = 2.0;
        std::size_t sends = 0;
        std::optional<EndCall> refused;
        for (CallId id = 1; id <= 300; ++id) {
            fixture.clock.advance(100ms);
            fixture.begin(id);
            const auto isInProgress = [&] { return fixture.dispatcher.calls() > 0; };
            if (isInProgress())
                fixture.grantLast();
            const std::vector<Action> actions = fixture.dispatcher.takeActions();
            for (const Action &it : actions) {
                if (const auto *send = std::get_if<SendCall>(&it)) {
                    sends += 1;
                    fixture.dispatcher.limitRead(id, send->attempt, {kLimit, false});
                    fixture.dispatcher.attemptFinished(id, send->attempt, 1.0);
                }
                if (const auto *end = std::get_if<EndCall>(&it))
                    refused = *end;
            }
            fixture.last<EndCall>();
            CHECK_FALSE(isInProgress());
        }
        const double share = kLimit * 30.0 / static_cast<double>(others + 1);
        CHECK(static_cast<double>(sends) <= share + 3.0);
        CHECK(static_cast<double>(sends) >= 0.7 * share);
        REQUIRE(refused);
        CHECK(refused->verdict.reason == Reason::UpstreamLimited);
        CHECK(refused->verdict.state == RunState::NotRun);
        CHECK(refused->verdict.retryAfter > 0ms);
    }
}

TEST_CASE("dispatcher: an engine that asks for a backoff or is draining gets no calls until that "
          "ends [backoff][drain]")
{
    for (const UpstreamNotice &notice : {UpstreamNotice{true, {}}, UpstreamNotice{false, 10s}}) {
        Fixture fixture(1);
        fixture.begin(1);
        fixture.grantLast();
        const auto send = fixture.last<SendCall>();
        REQUIRE(send);
        REQUIRE(fixture.dispatcher.noticeRead(1, send->attempt, notice));
        fixture.dispatcher.attemptFinished(1, send->attempt, 1.0);
        std::chrono::milliseconds last{0};
        for (CallId id = 2; id <= 4; ++id) {
            fixture.begin(id);
            const auto refused = fixture.last<EndCall>();
            REQUIRE(refused);
            CHECK(refused->verdict.reason == Reason::UpstreamBackoff);
            CHECK(refused->verdict.state == RunState::NotRun);
            CHECK(refused->verdict.retryAfter > std::max<std::chrono::milliseconds>(10s, last));
            last = refused->verdict.retryAfter;
        }
        fixture.clock.advance(10s);
        fixture.begin(5);
        fixture.grantLast();
        CHECK(fixture.last<SendCall>());
    }
}

TEST_CASE("dispatcher: a call waiting for its permit is not sent during a backoff [backoff]")
{
    Fixture fixture(1);
    fixture.begin(1);
    fixture.grantLast();
    const auto send = fixture.last<SendCall>();
    REQUIRE(send);
    fixture.begin(2);
    fixture.dispatcher.noticeRead(1, send->attempt, {false, 3s});
    fixture.grantLast();
    CHECK_FALSE(fixture.last<SendCall>());
}

// Guards against calls that get no verdict at the end of a planned stop, and against sends that the
// end of another call allows.
TEST_CASE("dispatcher: the end of a planned stop ends every call, and sends none [stop]")
{
    Fixture f(1);
    f.begin(1);
    f.grantLast();
    REQUIRE(f.last<SendCall>());
    f.begin(2); // waits for a permit
    REQUIRE(f.last<RequestPermit>());
    f.dispatcher.stop();
    f.dispatcher.endAllForStop();
    std::map<CallId, Verdict> verdicts;
    int cancelled = 0;
    for (const Action &it : f.dispatcher.takeActions()) {
        if (const auto *end = std::get_if<EndCall>(&it))
            verdicts[end->call] = end->verdict;
        cancelled += std::holds_alternative<CancelAttempt>(it) ? 1 : 0;
        CHECK_FALSE(std::holds_alternative<SendCall>(it));
        CHECK_FALSE(std::holds_alternative<RequestPermit>(it));
    }
    REQUIRE(verdicts.size() == 2);
    CHECK(verdicts[1].reason == Reason::CutByStop);
    CHECK(verdicts[1].state == RunState::MayHaveRun);
    CHECK(verdicts[2].reason == Reason::Stopping);
    CHECK(verdicts[2].state == RunState::NotRun);
    CHECK(cancelled == 1);
    CHECK(f.dispatcher.calls() == 0);
}
