// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONFIGURATION_HPP_INCLUDED
#define FORDWOOD_CONFIGURATION_HPP_INCLUDED

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood {

using Sha256 = std::array<std::uint8_t, 32>;

// One customer: its weight in fair queueing and the digests of its API keys.
struct TeamConfig
{
    std::string name;
    double share = 1.0;
    int priority = 0;
    std::vector<Sha256> keyDigests;
    std::int64_t maxRunning = 0; // concurrent requests in the whole fleet; zero: no ceiling
};

// A model and the weight version that new requests must use.
struct ModelConfig
{
    std::string name;
    std::string weightVersion;
};

enum class UpstreamKind : std::uint8_t { Engine, Service };

// A back end: a model engine or a plain service.
struct UpstreamConfig
{
    std::string name;
    UpstreamKind kind = UpstreamKind::Engine;
    std::string failureDomain;
    std::string address; // IP:port
    std::vector<std::string> models; // engines only
    std::string service; // plain services only
    std::size_t slots = 1; // concurrent requests
    double prefillTokensPerSecond = 10'000;
    std::int64_t cacheTokens = 100'000; // of context in the engine's cache
    bool checksFences = false;
    bool resumes = false; // can continue a stream that broke off at another engine
    bool refusesWhenFull = false; // replies "not run" when it has no free slot
    bool leaving = false;
};

// A path prefix whose requests are forwarded to a plain service.
struct RouteConfig
{
    std::string path; // begins with '/'
    std::string service;
    bool repeatable = false;
};

// A VM that stores context exported by engines.
struct StoreConfig
{
    std::string name;
    std::string failureDomain;
    std::string address;
    std::int64_t memoryBytes = 0;
    std::int64_t diskBytes = 0;
    double linkBytesPerSecond = 0;
};

struct FailureDomainConfig
{
    std::string name;
    std::string region;
};

struct LimitsConfig
{
    Duration defaultDeadline = std::chrono::seconds(60);
    Duration maxDeadline = std::chrono::minutes(10);
    Duration permitLife = std::chrono::seconds(2);
    std::size_t queuePerTeam = 256;
    std::size_t maxLoadsAtOnce = 2;
    double retryRatio = 0.1;
};

// A complete, validated configuration.
struct Configuration
{
    LimitsConfig limits;
    std::map<std::string, FailureDomainConfig> failureDomains;
    std::map<std::string, TeamConfig> teams;
    std::map<std::string, ModelConfig> models;
    std::map<std::string, UpstreamConfig> upstreams;
    std::map<std::string, RouteConfig> routes; // by path
    std::map<std::string, StoreConfig> stores;
};

} // namespace fordwood

#endif // FORDWOOD_CONFIGURATION_HPP_INCLUDED
