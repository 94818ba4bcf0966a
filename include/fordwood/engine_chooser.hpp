// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ENGINE_CHOOSER_HPP_INCLUDED
#define FORDWOOD_ENGINE_CHOOSER_HPP_INCLUDED

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/context_directory.hpp"
#include "fordwood/load_view.hpp"
#include "fordwood/mechanisms.hpp"
#include "fordwood/prefill_pace.hpp"
#include "fordwood/prompt.hpp"
#include "fordwood/serving_config.hpp"
#include "fordwood/upstream_health.hpp"
#include "fordwood/upstream_load_tracker.hpp"
#include "fordwood/upstream_record.hpp"
#include "fordwood/weight_history.hpp"

namespace fordwood {

// The engine chosen for a request, and the parameters to send with the request.
struct EngineChoice
{
    std::string instanceId;
    std::uint64_t weightVersion = 0;
    std::string salt;
    // Address of a store or of the engine `sourceEngine` for each part; empty: none.
    std::vector<std::string> fetchFrom;
    std::string sourceEngine; // address; empty: nothing is fetched from an engine
    std::map<std::string, std::size_t> fetchTokens; // by address
    std::vector<std::string> saveTo; // store address for each part; empty: none
    RequestLoad load;
    // Reasons for the choice, for the log:
    std::uint64_t newestWeights = 0; // newest known version of the model
    std::optional<Duration>
        replacedFor; // time since newer weights than the engine's were published
    std::uint64_t context = 0; // hash of the shared parts
    std::size_t sharedTokens = 0; // in the shared parts
    bool isShort = false; // see isShortPrompt()
    bool isPreferred = false; // all nodes rank this engine first for the context
    bool holdsContext = false; // according to recent sends
    bool isStored = false; // a store holds the context
    std::optional<Duration> replicaAge; // see ContextDirectory::setReplicaCompleteAsOf()
    UpstreamLoad loadBefore; // load of the engine before this request
    double queuedTokens = 0.0; // work to be computed before this prompt, in tokens
    // Upper bound of the time from the send to the first token, for rules that must not be broken.
    Duration firstTokenDelay{};
    Duration expectedDelay{}; // the likely time from the send to the first token

    bool isFetching() const
    {
        return std::any_of(fetchFrom.begin(), fetchFrom.end(),
                           [](const std::string &it) { return !it.empty(); });
    }
};

// Returns the share of the engines that a node should consider for one request. Nodes choose by
// load reports that are some tenths of a second old. In a large fleet, all nodes would send to the
// few engines that seemed idle, many times what these can compute between two reports. With a
// random share, each engine is considered by as many nodes as in a small fleet.
double candidateFractionFor(std::size_t liveNodes);

// Chooses the engine for a prompt. All nodes prefer the same engine for the same context, so that
// it is computed only once. Another engine is chosen when the work queued at the preferred one
// costs more than moving the context elsewhere or recomputing it there.
class EngineChooser
{
public:
    // The parts at the beginning of a prompt that an engine may fetch or save. The engine is told
    // an address for each, and a head with thousands of them would be more than engines read.
    static constexpr std::size_t kMaxExchangedParts = 256;

    struct Limits
    {
        // Answers that begin on replaced weights lose value after this time (a rule of the
        // platform).
        Duration oldWeightsGrace = std::chrono::milliseconds(1'500);
        // After this time no request may begin on replaced weights (the bound of the platform's
        // settings).
        Duration weightsWithin = std::chrono::seconds(12);
        Mechanisms mechanisms;
    };

    EngineChooser(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    struct Query
    {
        const Prompt &prompt;
        std::string isolatedTeam; // empty: the team shares context
        const WeightHistory &weights; // published versions of the model
        const EngineTraits &traits;
        const std::set<std::string> &tried; // instances that failed this request
        // The engines that short prompts prefer; see engine_groups.hpp.
        const std::set<std::string> &shortGroup;
        // Share of the engines to consider besides those that have the context or are preferred for
        // it; see candidateFractionFor(). `sampleSeed` selects the random sample.
        double candidateFraction = 1.0;
        std::uint64_t sampleSeed = 0;
        // Cold engines that only a few nodes, including this one, may send to. They are always
        // considered, as no other node uses them.
        std::set<std::string> assignedColdEngines = {};
        // Pace of the service's engines.
        PrefillPace pace = {};
        // An engine that is expected to produce the first token within this time is preferred to
        // one that is not, at any cost; zero: no such bound. For a caller that knows the loads
        // exactly: with old ones, many nodes would choose the same few engines.
        Duration maxDelay{};
        // Whether context that no store holds may be fetched from an engine. Only a scheduler
        // knows well enough which engines have received it.
        bool fetchesFromEngines = false;
    };

    // Returns nothing if no engine may take the request at the moment.
    std::optional<EngineChoice> choose(const Query &query,
                                       const std::vector<const UpstreamRecord *> &engines,
                                       const LoadView &loads, const UpstreamHealth &health,
                                       ContextDirectory &contexts) const;

    // Whether a request that is sent now, and gets its first token after the delay, may run on this
    // weight version.
    bool beginsInTime(std::uint64_t version, Duration firstTokenDelay,
                      const WeightHistory &weights) const;

    // Records in `contexts` that the request was sent as chosen.
    static void recordSent(const EngineChoice &choice, const Prompt &prompt,
                           ContextDirectory &contexts);

private:
    // An engine from which the context can be fetched.
    struct Source
    {
        const UpstreamRecord *engine = nullptr;
        double queuedTokens = 0.0; // to be sent over its link for other requests
    };

    // The store that holds a part of the prompt; empty address: none.
    struct StoredPart
    {
        ContextDirectory::Holder holder;
        double queuedTokens = 0.0; // there, for other requests

        bool isHeld() const { return !holder.address.empty(); }
    };

    // Values shared by all engines that serve the same weights.
    struct VersionInfo
    {
        std::uint64_t version = 0;
        std::string salt;
        // The stores that hold the shared parts, in the order of the parts.
        std::vector<StoredPart> stored;
        double cost = 0.0; // of answering with this version
        bool isSuperseded = false;
        bool isAtEngine = false; // an engine has the context, according to recent sends
        bool isStored = false; // stores hold all shared parts; set only for fetches from engines
        std::vector<Source> sources; // only if a part of the context is not in any store
    };
    struct Candidate
    {
        const UpstreamRecord *engine = nullptr;
        VersionInfo *weights = nullptr;
        bool isInMatchingGroup = false; // the group for prompts of this size
        std::uint64_t hash = 0; // of its instance id
        std::uint64_t weight = 0; // rendezvous weight of the engine for the context
        std::size_t rank = 0; // zero: preferred by all nodes
        bool holdsContext = false;
        bool fetches = true; // the context, if a store has it
        const UpstreamRecord *source = nullptr; // engine to fetch from what no store holds
        UpstreamLoad load;
        double cost = 0.0;
        double contextTokens = 0.0; // time to provide the context, in tokens to compute
        Duration expectedDelay{}; // see EngineChoice
        bool isLate = false; // the first token is expected after `Query::maxDelay`
    };

    // Values of the prompt, the same for all engines.
    struct PromptInfo
    {
        bool isShort = false;
        std::uint64_t context = 0;
        double sharedTokens = 0.0;
    };

    void computeCost(Candidate &candidate, const PromptInfo &promptInfo, const Query &query,
                     const LoadView &loads, const UpstreamHealth &health) const;
    static bool isConsidered(const Candidate &candidate, const Query &query);
    static void rank(std::vector<Candidate> &candidates, const PromptInfo &promptInfo,
                     const std::set<std::string> &shortGroup);
    double recomputeWeight(const Candidate &candidate, const PromptInfo &promptInfo) const;
    double readAgainWeight() const;
    bool mayUse(const UpstreamRecord &engine, const Query &query,
                const UpstreamHealth &health) const;
    double queueCost(const UpstreamLoad &load, const PromptInfo &promptInfo) const;
    double waitingCost(const UpstreamLoad &load, const PromptInfo &promptInfo,
                       const Query &query) const;
    static std::size_t missingMemory(const UpstreamLoad &load, const Query &query);
    Duration timeToFirstToken(const UpstreamLoad &load, const Query &query,
                              const VersionInfo &weights) const;
    Duration expectedDelay(const Candidate &candidate, const PromptInfo &promptInfo,
                           const Query &query) const;
    double storeWait(const VersionInfo &weights, double sharedTokens) const;
    static double storeQueue(const VersionInfo &weights);
    double oldWeightsCost(std::uint64_t version, const Query &query) const;
    VersionInfo weightsInfo(std::uint64_t version, const Query &query, const LoadView &loads,
                            const ContextDirectory &contexts) const;
    void findSources(const std::vector<Candidate> &candidates, const PromptInfo &promptInfo,
                     const Query &query, const LoadView &loads, const UpstreamHealth &health,
                     const ContextDirectory &contexts) const;
    static double fetchCost(double sharedTokens, double waitingTokens, bool isNear);
    static double transferTokens(double tokens, double linkMbps, const Query &query);
    static double storeFetchCost(const Candidate &candidate, const PromptInfo &promptInfo,
                                 const Query &query);
    static std::pair<const UpstreamRecord *, double>
    cheapestSource(const Candidate &candidate, const PromptInfo &promptInfo, const Query &query);
    double contextCost(Candidate &candidate, const PromptInfo &promptInfo,
                       const Query &query) const;
    static std::size_t linkShare(const Candidate &candidate, const Query &query, std::size_t part);
    std::size_t contextToSave(const Prompt &prompt, const PromptPart &part) const;
    EngineChoice complete(const Candidate &candidate, const PromptInfo &promptInfo,
                          const Query &query, ContextDirectory &contexts) const;

    const Clock &m_clock;
    const Limits m_limits;
};

} // namespace fordwood

#endif // FORDWOOD_ENGINE_CHOOSER_HPP_INCLUDED
