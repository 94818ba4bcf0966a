// SPDX-License-Identifier: MIT
#include "fordwood/submission.hpp"

#include <algorithm>
#include <map>

namespace fordwood {

namespace {

constexpr std::size_t kMaxRecentIds = 64; // 90 s of changes at the target rate
constexpr std::size_t kMaxDeltaBytes = 32'768; // larger changes are fetched piece by piece
constexpr std::size_t kWritesPerCall = 64; // below the usual limit of operations per transaction
constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr Duration kRetryPause = std::chrono::milliseconds(200);

bool contains(const std::vector<std::string> &ids, const std::string &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

std::string headKey()
{
    return "/fordwood/config/head";
}

std::string manifestKey(const std::string &sha256)
{
    return "/fordwood/config/manifest/" + sha256;
}

std::string pieceKey(const std::string &sha256)
{
    return "/fordwood/config/piece/" + sha256;
}

Submitter::Submitter(KeyValueStore &store, const HeadCodec &codec, const Clock &clock,
                     std::function<void(Duration)> pause)
    : m_store(store), m_codec(codec), m_clock(clock), m_pause(std::move(pause))
{ }

SubmissionResult Submitter::submit(const Submission &submission, Duration limit)
{
    const TimePoint end = m_clock.now() + limit;
    // Sorted, so that the manifest does not depend on the order of the submitted pieces.
    std::vector<StoredPiece> pieces = submission.pieces;
    std::sort(pieces.begin(), pieces.end(),
              [](const StoredPiece &a, const StoredPiece &b) { return a.name < b.name; });
    const std::string manifest = m_codec.encodeManifest(pieces);
    const std::string manifestSha256 = m_codec.digest(manifest);
    std::string lastError;
    do {
        const auto base = readHead();
        if (!base) {
            lastError = base.error().text;
            continue;
        }
        const ConfigHead &head = base->head;
        if (contains(head.recentSubmissionIds, submission.id))
            return {SubmissionOutcome::Accepted, head.version, "was already accepted", 0};
        if (submission.base && *submission.base != head.version)
            return {SubmissionOutcome::Refused, head.version,
                    "based on version " + std::to_string(*submission.base), 0};
        if (head.manifestSha256 == manifestSha256)
            return {SubmissionOutcome::Unchanged, head.version, "no difference", 0};
        const auto written = writePieces(submission, manifest);
        if (!written) {
            lastError = written.error().text;
            continue;
        }
        ConfigHead next = makeNextHead(*base, submission, manifestSha256);
        next.delta = deltaFrom(base->head, pieces);
        return swapHead(submission, *base, next, *written, end);
    } while (waitBeforeRetry(end));
    return {SubmissionOutcome::NotStored, 0, lastError, 0};
}

StoreResult<Submitter::StoredHead> Submitter::readHead()
{
    const auto stored = m_store.get(headKey(), kCallTimeout);
    if (!stored)
        return tl::make_unexpected(stored.error());
    if (!*stored)
        return StoredHead{};
    const auto head = m_codec.decodeHead((*stored)->value);
    if (!head)
        return tl::make_unexpected(StoreError{RunState::NotRun, "the stored head is damaged"});
    return StoredHead{*head, (*stored)->revision};
}

StoreResult<std::size_t> Submitter::writePieces(const Submission &submission,
                                                const std::string &manifest)
{
    std::vector<std::string> keys;
    std::vector<ConditionalWrite> writes;
    for (const StoredPiece &it : submission.pieces) {
        keys.push_back(pieceKey(it.sha256));
        writes.push_back({keys.back(), 0, it.text});
    }
    keys.push_back(manifestKey(m_codec.digest(manifest)));
    writes.push_back({keys.back(), 0, manifest});

    const auto present = m_store.getMany(keys, kCallTimeout);
    if (!present)
        return tl::make_unexpected(present.error());
    std::vector<ConditionalWrite> missing;
    for (std::size_t it = 0; it < writes.size(); ++it) {
        if (!(*present)[it])
            missing.push_back(writes[it]);
    }
    for (std::size_t begin = 0; begin < missing.size(); begin += kWritesPerCall) {
        const std::size_t end = std::min(missing.size(), begin + kWritesPerCall);
        const std::vector<ConditionalWrite> batch(
            missing.begin() + static_cast<std::ptrdiff_t>(begin),
            missing.begin() + static_cast<std::ptrdiff_t>(end));
        // A lost reply does no harm here, because the keys are content digests.
        const auto done = m_store.writeMissing(batch, kCallTimeout);
        if (!done)
            return tl::make_unexpected(done.error());
    }
    return missing.size();
}

// The change from the configuration in effect, if that can be read and the change is small. With it
// the nodes need not fetch the changed pieces one by one.
std::optional<ConfigDelta> Submitter::deltaFrom(const ConfigHead &base,
                                                const std::vector<StoredPiece> &after)
{
    if (base.version == 0)
        return std::nullopt;
    const auto manifest = m_store.get(manifestKey(base.manifestSha256), kCallTimeout);
    if (!manifest || !*manifest)
        return std::nullopt;
    auto before = m_codec.decodeManifest((*manifest)->value);
    if (!before)
        return std::nullopt;
    std::map<std::string, const StoredPiece *> present;
    for (const StoredPiece &it : after)
        present[it.sha256] = &it;
    std::vector<std::string> keys;
    for (const StoredPiece &it : *before) {
        if (present.count(it.sha256) == 0)
            keys.push_back(pieceKey(it.sha256));
    }
    const auto values = m_store.getMany(keys, kCallTimeout);
    if (!values)
        return std::nullopt;
    std::size_t next = 0;
    for (StoredPiece &it : *before) {
        const auto known = present.find(it.sha256);
        if (known != present.end())
            it.text = known->second->text;
        else if (const auto &value = (*values)[next++])
            it.text = value->value;
        else
            return std::nullopt;
    }
    ConfigDelta delta = makeDelta(*before, base.manifestSha256, after);
    std::size_t bytes = 0;
    for (const PieceSplice &it : delta.splices)
        bytes += it.middle.size() + it.name.size() + it.sha256.size();
    if (bytes > kMaxDeltaBytes)
        return std::nullopt;
    return delta;
}

SubmissionResult Submitter::swapHead(const Submission &submission, const StoredHead &base,
                                     const ConfigHead &next, std::size_t written, TimePoint end)
{
    const std::vector<ConditionalWrite> swap{{headKey(), base.revision, m_codec.encodeHead(next)}};
    bool mayHaveRun = false;
    std::string lastError;
    do {
        const auto done = m_store.write(swap, kCallTimeout);
        if (done && *done)
            return {SubmissionOutcome::Accepted, next.version, "", written};
        if (!done) {
            mayHaveRun = mayHaveRun || done.error().state != RunState::NotRun;
            lastError = done.error().text;
            continue;
        }
        // The head has changed, so none of our attempts can take effect any more. The stored head
        // shows whether one did.
        const auto now = readHead();
        if (!now) {
            mayHaveRun = true;
            lastError = now.error().text;
            continue;
        }
        if (contains(now->head.recentSubmissionIds, submission.id))
            return {SubmissionOutcome::Accepted, next.version, "", written};
        return {SubmissionOutcome::Refused, now->head.version,
                "submission " + now->head.submissionId + " was accepted first", written};
    } while (waitBeforeRetry(end));
    return {mayHaveRun ? SubmissionOutcome::Unknown : SubmissionOutcome::NotStored, next.version,
            lastError, written};
}

ConfigHead Submitter::makeNextHead(const StoredHead &base, const Submission &submission,
                                   const std::string &manifestSha256) const
{
    ConfigHead next;
    next.version = base.head.version + 1;
    next.base = base.head.version;
    next.manifestSha256 = manifestSha256;
    next.submissionId = submission.id;
    next.recentSubmissionIds = base.head.recentSubmissionIds;
    next.recentSubmissionIds.push_back(submission.id);
    if (next.recentSubmissionIds.size() > kMaxRecentIds)
        next.recentSubmissionIds.erase(next.recentSubmissionIds.begin());
    next.accepted = m_clock.wallNow();
    return next;
}

bool Submitter::waitBeforeRetry(TimePoint end)
{
    if (m_clock.now() + kRetryPause >= end)
        return false;
    m_pause(kRetryPause);
    return true;
}

} // namespace fordwood
