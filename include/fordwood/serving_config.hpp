// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_SERVING_CONFIG_HPP_INCLUDED
#define FORDWOOD_SERVING_CONFIG_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fordwood {

// One of the services among which a route divides its requests.
struct SplitTarget
{
    std::string service;
    double weight = 1.0; // relative to the other targets of the route
};

// Where the requests for one host and path prefix go, and how they may be handled.
struct ServiceRoute
{
    std::string name;
    std::string host; // in lower case, without a port
    std::string pathPrefix; // begins and ends with a slash
    std::vector<SplitTarget> targets;
    bool repeatable = false; // the request may run more than once
    bool streaming = false; // the answer is a series of events
    bool resumable = false; // a broken stream may go on at another upstream
    bool isPublic = false; // needs no team key
    std::vector<std::string> allowedRegions; // that a request may go to; none: any
    std::size_t maxAttempts = 1; // upstreams to which one request may be sent
    std::chrono::milliseconds timeout{0}; // longest time that a request is held
    std::chrono::milliseconds targetLatency{0}; // an answer within it has its full value
    int priority = 0; // 0 is the most urgent

    // Whether an attempt that may have run can be followed by another one.
    bool mayRunAgain() const { return repeatable || (streaming && resumable); }
};

// What the model engines of a service have in common.
struct EngineTraits
{
    std::size_t slots = 1; // requests that run at once
    std::size_t contextTokens = 0; // memory for running requests and kept context
    std::vector<std::string> models;
    std::size_t maxReaders = 0; // calls that wait for events, at once; 0: not stated
};

// A service: a set of upstreams that can stand in for one another.
struct ServicePool
{
    std::string name;
    std::size_t maxConnections = 0; // that one upstream takes from all callers; 0: not stated
    std::chrono::milliseconds coldStart{0}; // an upstream that has just started is slow for so long
    double coldRequestsPerSecond = 0.0; // that a cold upstream bears; 0: as many as any other
    std::optional<EngineTraits> engine; // nothing: a plain service
};

// A store of kept context, which engines read from and write to.
struct ContextStore
{
    std::string name;
    std::string address; // IP:port
    std::string failureDomain;
    std::size_t capacityTokens = 0;
    bool managed = false; // it drops nothing on its own
    std::size_t maxReaders = 0; // waiting calls that it holds at once; 0: not stated
};

// A team: who it is by its keys, and how it is treated.
struct ServingTeam
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; // goes before that of the route
    bool isolated = false; // shares no kept context with other teams
    std::vector<std::string> allowedRegions; // that its requests may go to; none: any
};

// What a caller may send, and how long it may take.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 4'194'304;
    std::chrono::milliseconds headerTimeout{3'000};
    std::chrono::milliseconds idleTimeout{15'000};
};

// One whole configuration as the operators submitted it to the platform.
struct ServingConfig
{
    std::uint64_t version = 0;
    std::vector<ServiceRoute> routes;
    std::vector<ServicePool> services;
    std::vector<ContextStore> stores;
    std::vector<ServingTeam> teams;
    CallerLimits limits;
};

} // namespace fordwood

#endif // FORDWOOD_SERVING_CONFIG_HPP_INCLUDED
