// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_SUBMISSION_HPP_INCLUDED
#define FORDWOOD_SUBMISSION_HPP_INCLUDED

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/config_head.hpp"
#include "fordwood/key_value_store.hpp"

namespace fordwood {

// Encodes heads and manifests for the store, and decodes them.
class HeadCodec
{
public:
    virtual ~HeadCodec() = default;
    virtual std::string encodeHead(const ConfigHead &head) const = 0;
    // Empty when the bytes are not a valid head.
    virtual std::optional<ConfigHead> decodeHead(const std::string &bytes) const = 0;
    virtual std::string encodeManifest(const std::vector<StoredPiece> &pieces) const = 0;
    // The pieces without their texts; empty when the bytes are not a valid manifest.
    virtual std::optional<std::vector<StoredPiece>>
    decodeManifest(const std::string &bytes) const = 0;
    // The digest under which bytes are stored.
    virtual std::string digest(const std::string &bytes) const = 0;
};

enum class SubmissionOutcome {
    Accepted, // in effect as `version`
    Unchanged, // identical to the configuration in effect
    Refused, // another submission came first; `version` is in effect
    NotStored, // certainly not in effect; the store could not be reached
    Unknown, // no definite reply in time; submit again with the same id
};

// The result of a submission.
struct SubmissionResult
{
    SubmissionOutcome outcome = SubmissionOutcome::Unknown;
    std::uint64_t version = 0;
    std::string detail;
    std::size_t piecesWritten = 0;
};

// A configuration to put into effect.
struct Submission
{
    std::string id; // unique; a call with the same id repeats the same submission
    std::vector<StoredPiece> pieces;
    std::optional<std::uint64_t> base; // refuse if another version is in effect
};

// Keys in the store.
std::string headKey();
std::string manifestKey(const std::string &sha256);
std::string pieceKey(const std::string &sha256);

// Submits whole configurations: writes the missing pieces, then replaces the head by
// compare-and-swap. If a reply is lost, it repeats the same compare-and-swap and looks for the
// submission's id in the stored head, so that the reported outcome is always certain or Unknown.
class Submitter
{
public:
    // `pause` is called between attempts, with the time to wait.
    Submitter(KeyValueStore &store, const HeadCodec &codec, const Clock &clock,
              std::function<void(Duration)> pause);

    // Retries until the outcome is certain, for at most `limit`.
    SubmissionResult submit(const Submission &submission, Duration limit);

private:
    struct StoredHead
    {
        ConfigHead head;
        std::int64_t revision = 0;
    };

    StoreResult<StoredHead> readHead();
    StoreResult<std::size_t> writePieces(const Submission &submission, const std::string &manifest);
    SubmissionResult swapHead(const Submission &submission, const StoredHead &base,
                              const ConfigHead &next, std::size_t written, TimePoint end);
    std::optional<ConfigDelta> deltaFrom(const ConfigHead &base,
                                         const std::vector<StoredPiece> &after);
    ConfigHead makeNextHead(const StoredHead &base, const Submission &submission,
                            const std::string &manifestSha256) const;
    bool waitBeforeRetry(TimePoint end);

    KeyValueStore &m_store;
    const HeadCodec &m_codec;
    const Clock &m_clock;
    std::function<void(Duration)> m_pause;
};

} // namespace fordwood

#endif // FORDWOOD_SUBMISSION_HPP_INCLUDED
