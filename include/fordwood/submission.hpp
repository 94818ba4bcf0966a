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

// Turns heads and manifests into the bytes that are stored, and back.
class HeadCodec
{
public:
    virtual ~HeadCodec() = default;
    virtual std::string encodeHead(const ConfigHead &head) const = 0;
    // Empty when the bytes are no head.
    virtual std::optional<ConfigHead> decodeHead(const std::string &bytes) const = 0;
    virtual std::string encodeManifest(const std::vector<StoredPiece> &pieces) const = 0;
    // The pieces without their texts; empty when the bytes are no manifest.
    virtual std::optional<std::vector<StoredPiece>>
    decodeManifest(const std::string &bytes) const = 0;
    // The digest under which bytes are stored.
    virtual std::string digest(const std::string &bytes) const = 0;
};

enum class SubmissionOutcome {
    Accepted, // in force from `version` on
    Unchanged, // the configuration in force is the same already
    Refused, // another submission came first: `version` is in force
    NotStored, // surely not in force; the store could not be reached
    Unknown, // the store did not say in time; ask again with the same id
};

// What became of a submission.
struct SubmissionResult
{
    SubmissionOutcome outcome = SubmissionOutcome::Unknown;
    std::uint64_t version = 0;
    std::string detail;
    std::size_t piecesWritten = 0;
};

// What is submitted.
struct Submission
{
    std::string id; // unique; the same id on a repeated call is the same submission
    std::vector<StoredPiece> pieces;
    std::optional<std::uint64_t> base; // refuse if another version than this is in force
};

// Keys in the store.
std::string headKey();
std::string manifestKey(const std::string &sha256);
std::string pieceKey(const std::string &sha256);

// Submits whole configurations: writes the pieces that are missing, then one compare-and-swap on
// the head. A reply that was lost is settled by repeating the same compare-and-swap and by looking
// for the submission's own id, never by guessing.
class Submitter
{
public:
    // `pause` is called between tries, with the time to wait.
    Submitter(KeyValueStore &store, const HeadCodec &codec, const Clock &clock,
              std::function<void(Duration)> pause);

    // Tries until the outcome is certain, for `limit` at most.
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
