// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_LOAD_OUTCOME_HPP_INCLUDED
#define FORDWOOD_APPS_LOAD_OUTCOME_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood::apps {

// How one request ended, as its caller saw it.
enum class CallerOutcome : std::uint8_t {
    Answered, // whole, and the answer to this request
    Refused, // with a verdict and a reason
    Broken, // begun, then ended by an error event
    Truncated, // ended early without being told
    Crossed, // the answer to another request
    Lost, // no answer at all
};

struct RequestRecord
{
    std::size_t kind = 0;
    std::string target; // that it was sent to
    std::string id;
    CallerOutcome outcome = CallerOutcome::Lost;
    std::string reason; // of a refusal or a broken answer
    std::string verdict;
    Duration firstByte{0}; // from the intended time
    Duration total{0};
    Duration betweenTokens{0}; // mean
};

// What stand-ins counted during the run.
struct StandinCounts
{
    double promptTokens = 0;
    double uncachedTokens = 0;
    double linkBytes = 0;
    double doubledRuns = 0;
    double cancelled = 0;
    std::map<std::string, double> retries; // of the entry nodes, by reason
};

// Results of one run, as text or as JSON.
std::string reportText(const std::vector<RequestRecord> &records, const StandinCounts &counts,
                       Duration duration);
std::string reportJson(const std::vector<RequestRecord> &records, const StandinCounts &counts,
                       Duration duration);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_LOAD_OUTCOME_HPP_INCLUDED
