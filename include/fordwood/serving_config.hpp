// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_SERVING_CONFIG_HPP_INCLUDED
#define FORDWOOD_SERVING_CONFIG_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fordwood {

// One of the services to which a route distributes its requests.
struct SplitTarget
{
    std::string service;
    double weight = 1.0; // relative to the route's other targets

    bool operator==(const SplitTarget &) const = default;
};

// The targets of requests for one host and path prefix, and how to handle these requests.
struct ServiceRoute
{
    std::string name;
    std::string host; // in lower case, without a port
    std::string pathPrefix; // begins and ends with a slash
    std::vector<SplitTarget> targets;
    bool repeatable = false; // the request may run more than once
    bool streaming = false; // the response is a series of events
    bool resumable = false; // another upstream may continue a broken stream
    bool isPublic = false; // needs no team key
    std::vector<std::string> allowedRegions; // where a request may be sent; empty: any
    std::size_t maxAttempts = 1; // upstreams to which one request may be sent
    std::chrono::milliseconds timeout{0}; // longest time that a request may take
    std::chrono::milliseconds targetLatency{0}; // a response within it has its full value
    std::chrono::milliseconds maxPause{
        0}; // between two events of a timely stream; 0: not specified
    int priority = 0; // 0 is the most urgent

    bool isResumableStream() const { return streaming && resumable; }

    // Whether another attempt is allowed after one that may have run.
    bool mayRunAgain() const { return repeatable || isResumableStream(); }
};

// Properties shared by the model engines of a service.
struct EngineTraits
{
    std::size_t slots = 1; // concurrent requests
    std::size_t contextTokens = 0; // memory for running requests and cached context
    std::vector<std::string> models;
    std::size_t maxReaders = 0; // concurrent calls that wait for events; 0: not specified
    std::size_t tokenBytes = 0; // of computed context per token; 0: not specified
    double linkMbps = 0.0; // for moving context; 0: not specified
};

// A service: a set of interchangeable upstreams.
struct ServicePool
{
    std::string name;
    std::size_t maxConnections = 0; // of all callers to one upstream; 0: not specified
    std::chrono::milliseconds coldStart{0}; // how long an upstream is slow after its start
    double coldRequestsPerSecond = 0.0; // limit of a cold upstream; 0: the same as others
    std::optional<EngineTraits> engine; // empty: a plain service
};

// A context store, which engines read from and write to.
struct ContextStore
{
    std::string name;
    std::string address; // IP:port
    std::string failureDomain;
    std::size_t capacityTokens = 0;
    bool managed = false; // it never evicts context by itself
    std::size_t maxReaders = 0; // concurrent waiting calls; 0: not specified
    double linkMbps = 0.0; // 0: not specified
    std::chrono::microseconds firstByteDelay{0}; // of each transfer
};

// A team: its API keys and how its requests are handled.
struct ServingTeam
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; // overrides the route's priority
    bool isolated = false; // shares no stored context with other teams
    std::vector<std::string> allowedRegions; // where its requests may be sent; empty: any
};

// Size limits and timeouts for callers.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 4'194'304;
    std::chrono::milliseconds headerTimeout{3'000};
    std::chrono::milliseconds idleTimeout{15'000};
};

// A complete configuration as the operators submitted it to the platform.
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
