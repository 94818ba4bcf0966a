// SPDX-License-Identifier: MIT
#include "fordwood/submission.hpp"

#include <doctest/doctest.h>

#include "adapters/platform/proto_head_codec.hpp"
#include "fordwood/manual_clock.hpp"
#include "support/faulty_store.hpp"

using namespace fordwood;
using support::FaultyStore;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    ManualClock clock;
    FaultyStore store;
    adapters::ProtoHeadCodec codec;
    Submitter submitter{store, codec, clock, [this](Duration time) { clock.advance(time); }};

    Submission submission(const std::string &id, const std::string &text) const
    {
        return {id, {{"piece", codec.digest(text), text}}, std::nullopt};
    }
};

} // namespace

TEST_CASE("submission: each accepted one increments the version [configuration]")
{
    Fixture fixture;
    const auto first = fixture.submitter.submit(fixture.submission("s1", "one"), 5s);
    CHECK(first.outcome == SubmissionOutcome::Accepted);
    CHECK(first.version == 1);
    CHECK(first.piecesWritten == 2); // the piece and the manifest
    const auto second = fixture.submitter.submit(fixture.submission("s2", "two"), 5s);
    CHECK(second.version == 2);
    const auto same = fixture.submitter.submit(fixture.submission("s3", "two"), 5s);
    CHECK(same.outcome == SubmissionOutcome::Unchanged);
    CHECK(same.version == 2);
}

TEST_CASE("submission: a write whose reply is lost takes effect only once [platform]")
{
    Fixture fixture;
    fixture.store.headFaults = {FaultyStore::Fault::LostAfterEffect};
    const auto result = fixture.submitter.submit(fixture.submission("s1", "one"), 5s);
    CHECK(result.outcome == SubmissionOutcome::Accepted);
    CHECK(result.version == 1);
    const auto head = fixture.codec.decodeHead(fixture.store.values.at(headKey()).value);
    CHECK(head->version == 1);
}

TEST_CASE("submission: accepted although its reply is lost and another one follows at once [race]")
{
    Fixture fixture;
    fixture.store.headFaults = {FaultyStore::Fault::LostAfterEffect};
    // Another operator's submission is accepted before ours is repeated.
    int writes = 0;
    Submitter submitter(fixture.store, fixture.codec, fixture.clock, [&](Duration time) {
        fixture.clock.advance(time);
        if (writes++ == 0)
            CHECK(fixture.submitter.submit(fixture.submission("other", "two"), 5s).version == 2);
    });
    const auto result = submitter.submit(fixture.submission("s1", "one"), 5s);
    CHECK(result.outcome == SubmissionOutcome::Accepted);
    CHECK(result.version == 1);
}

TEST_CASE("submission: of two concurrent ones, one is accepted and the other refused [race]")
{
    Fixture fixture;
    SubmissionResult other;
    fixture.store.beforeHeadWrite
        = [&] { other = fixture.submitter.submit(fixture.submission("s2", "two"), 5s); };
    const auto result = fixture.submitter.submit(fixture.submission("s1", "one"), 5s);
    CHECK(other.outcome == SubmissionOutcome::Accepted);
    CHECK(result.outcome == SubmissionOutcome::Refused);
    CHECK(result.version == 1);
}

TEST_CASE("submission: a delayed write cannot take effect after a refusal [race][platform]")
{
    Fixture fixture;
    fixture.store.headFaults = {FaultyStore::Fault::LostBeforeEffect};
    fixture.store.beforeHeadWrite = [&] {
        CHECK(fixture.submitter.submit(fixture.submission("s2", "two"), 5s).version == 1);
    };
    // The racing write consumes the first entry, so the fault is put after it for our write.
    fixture.store.headFaults.insert(fixture.store.headFaults.begin(), FaultyStore::Fault::None);
    const auto result = fixture.submitter.submit(fixture.submission("s1", "one"), 5s);
    CHECK(result.outcome == SubmissionOutcome::Refused);
    // The lost write arrives now. It must not take effect, since its revision is outdated.
    ConfigHead late;
    late.version = 1;
    late.submissionId = "s1";
    const auto done = fixture.store.write({{headKey(), 0, fixture.codec.encodeHead(late)}}, 1s);
    CHECK_FALSE(*done);
}

TEST_CASE("submission: not stored when the store is down [platform]")
{
    Fixture fixture;
    fixture.store.down = true;
    const auto result = fixture.submitter.submit(fixture.submission("s1", "one"), 3s);
    CHECK(result.outcome == SubmissionOutcome::NotStored);
}

TEST_CASE("submission: the outcome is unknown without a reply; repeating it determines the outcome")
{
    Fixture fixture;
    fixture.store.headFaults.assign(100, FaultyStore::Fault::LostBeforeEffect);
    const auto result = fixture.submitter.submit(fixture.submission("s1", "one"), 2s);
    CHECK(result.outcome == SubmissionOutcome::Unknown);
    fixture.store.headFaults.clear();
    CHECK(fixture.submitter.submit(fixture.submission("s1", "one"), 2s).version == 1);
    CHECK(fixture.submitter.submit(fixture.submission("s1", "one"), 2s).version == 1);
}

TEST_CASE("submission: refused if based on another version than the one in effect [race]")
{
    Fixture fixture;
    fixture.submitter.submit(fixture.submission("s1", "one"), 5s);
    Submission late = fixture.submission("s2", "two");
    late.base = 0;
    CHECK(fixture.submitter.submit(late, 5s).outcome == SubmissionOutcome::Refused);
    late.base = 1;
    CHECK(fixture.submitter.submit(late, 5s).outcome == SubmissionOutcome::Accepted);
}

TEST_CASE("head guard: versions never decrease [configuration]")
{
    HeadGuard guard;
    ConfigHead head;
    head.version = 5;
    CHECK(guard.offer(head) == HeadOrder::Newer);
    CHECK(guard.offer(head) == HeadOrder::Same);
    head.version = 4;
    CHECK(guard.offer(head) == HeadOrder::Older);
    CHECK(guard.head().version == 5);
}
