// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_LOAD_OUTCOME_HPP_INCLUDED
#define FORDWOOD_APPS_LOAD_OUTCOME_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood::apps {

// The outcome of a request as observed by its caller.
enum class CallerOutcome : std::uint8_t {
    Answered, // a complete answer to this request
    Refused, // rejected with a verdict and a reason
    Broken, // started, then ended by an error event
    Truncated, // ended early without an error event
    Crossed, // received the answer to another request
    Lost, // no answer at all
};

struct RequestRecord
{
    std::size_t kind = 0;
    std::string target; // address the request was sent to
    std::string id;
    CallerOutcome outcome = CallerOutcome::Lost;
    std::string reason; // of a rejection or a broken answer
    std::string verdict;
    Duration firstByte{0}; // since the intended send time
    Duration total{0};
    Duration betweenTokens{0}; // mean
};

// Counters of the stand-in servers and the entry nodes.
struct StandinCounts
{
    double promptTokens = 0;
    double uncachedTokens = 0;
    double linkBytes = 0;
    double doubledRuns = 0;
    double cancelled = 0;
    std::map<std::string, double> retries; // of the entry nodes, by reason
};

// Formats the results of one run as text or as JSON.
std::string reportText(const std::vector<RequestRecord> &records, const StandinCounts &counts,
                       Duration duration);
std::string reportJson(const std::vector<RequestRecord> &records, const StandinCounts &counts,
                       Duration duration);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_LOAD_OUTCOME_HPP_INCLUDED
