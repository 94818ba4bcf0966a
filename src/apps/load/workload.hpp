// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_LOAD_WORKLOAD_HPP_INCLUDED
#define FORDWOOD_APPS_LOAD_WORKLOAD_HPP_INCLUDED

#include <optional>
#include <string>
#include <vector>

#include "config/config_error.hpp"
#include "fordwood/clock.hpp"

namespace fordwood::apps {

// One kind of conversation in a workload.
struct ConversationKind
{
    std::string team;
    std::string key; // bearer key
    double weight = 1.0; // relative frequency
    std::string model; // empty: a call of a plain service
    std::string path; // of a call of a plain service
    std::size_t contexts = 1; // number of different shared contexts
    std::size_t contextTokens = 0; // length of a shared context
    std::size_t questionTokens = 16;
    std::size_t newTokens = 16;
    std::size_t followUps = 0; // per conversation
    Duration followUpGap = std::chrono::seconds(1); // mean time between follow-ups
    bool stream = true;
};

// The requests to send and their targets.
struct Workload
{
    std::vector<std::string> targets; // IP:port, used round-robin
    std::vector<std::string>
        engines; // stand-in engines whose statistics are read before and after the run
    std::vector<std::string> services;
    std::vector<std::string> stores;
    double rate = 10.0; // new conversations per second
    std::size_t requests = 100; // total, including follow-ups
    std::uint64_t seed = 1;
    Duration deadline = std::chrono::seconds(30);
    std::vector<ConversationKind> kinds;
};

// One request at its intended time.
struct PlannedRequest
{
    Duration at{0};
    std::size_t kind = 0;
    std::size_t conversation = 0;
    std::size_t context = 0;
    std::size_t turn = 0;
};

// Reads a workload file. Returns nothing if it added any error.
std::optional<Workload> readWorkload(const std::string &path, config::ConfigErrors &errors);

// The complete plan in chronological order. The same seed gives the same plan.
std::vector<PlannedRequest> makePlan(const Workload &workload);

// The reference page of workload files, in Markdown.
std::string workloadReference();

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_LOAD_WORKLOAD_HPP_INCLUDED
