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
    double weight = 1.0; // among the kinds
    std::string model; // empty: a plain call
    std::string path; // of a plain call
    std::size_t contexts = 1; // different shared contexts
    std::size_t contextTokens = 0; // length of a shared context
    std::size_t questionTokens = 16;
    std::size_t newTokens = 16;
    std::size_t followUps = 0; // follow-ups of a conversation
    Duration followUpGap = std::chrono::seconds(1); // mean time between them
    bool stream = true;
};

// What is to be sent, and where.
struct Workload
{
    std::vector<std::string> targets; // IP:port, used in turn
    std::vector<std::string> engines; // stand-ins whose statistics are read before and after
    std::vector<std::string> services;
    std::vector<std::string> stores;
    double rate = 10.0; // first requests of conversations a second
    std::size_t requests = 100; // in all, follow-ups included
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

// Reads a workload file; empty when any error was added.
std::optional<Workload> readWorkload(const std::string &path, config::ConfigErrors &errors);

// The whole plan, in the order of time; the same seed gives the same plan.
std::vector<PlannedRequest> makePlan(const Workload &workload);

// The reference page of workload files, in Markdown.
std::string workloadReference();

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_LOAD_WORKLOAD_HPP_INCLUDED
