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
#include "fordwood/mechanisms.hpp"
#include "fordwood/prefill_pace.hpp"
#include "fordwood/prompt.hpp"
#include "fordwood/serving_config.hpp"
#include "fordwood/upstream_health.hpp"
#include "fordwood/upstream_load_tracker.hpp"
#include "fordwood/upstream_record.hpp"
#include "fordwood/weight_history.hpp"

namespace fordwood {

// The engine for a request, and what is to be said to it.
struct EngineChoice
{
    std::string instanceId;
    std::uint64_t weightVersion = 0;
    std::string salt;
    std::vector<std::string> fetchFrom; // an address for each part; empty: none
    std::map<std::string, std::size_t> fetchTokens; // by that address
    std::vector<std::string> saveTo; // likewise
    RequestLoad load;
    // What decided, for the log:
    std::uint64_t newestWeights = 0; // named for the model, as far as known
    std::optional<Duration> replacedFor; // since newer weights than the engine's were named
    std::uint64_t context = 0; // names the shared parts
    std::size_t sharedTokens = 0; // of them
    bool isShort = false; // the prompt, for its engine
    bool isHome = false; // the engine that all nodes prefer for the context
    bool holdsContext = false; // as believed
    bool isStored = false; // a store holds the context
    UpstreamLoad found; // what lay at the engine before
    double waitTokens = 0.0; // the wait before its prompt is computed, in tokens to compute
    Duration beginsAfter{}; // its send: until its first token, as far as can be told

    bool isFetching() const
    {
        return std::any_of(fetchFrom.begin(), fetchFrom.end(),
                           [](const std::string &it) { return !it.empty(); });
    }
};

// The part of the engines that a node should consider for one request, where so many nodes choose
// from loads that are some tenths of a second old. All of a large fleet would else send to the few
// engines that seemed idle, many times what these compute between two messages. A random part
// leaves each engine to as many nodes as there are in a small fleet.
double partToConsider(std::size_t liveNodes);

// Chooses the engine for a prompt. All nodes prefer the same engine for the same context, so that
// it is computed once; an engine is passed over when the work that lies there costs more than
// moving the context, or computing it again, elsewhere.
class EngineChooser
{
public:
    struct Limits
    {
        // Answers that begin on older weights lose value from here on (rules of the platform).
        Duration oldWeightsFine = std::chrono::milliseconds(1'500);
        // After this no request may begin on older weights (the bound of the platform's settings).
        Duration weightsWithin = std::chrono::seconds(12);
        Mechanisms mechanisms;
    };

    EngineChooser(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    struct Question
    {
        const Prompt &prompt;
        std::string walledTeam; // empty: the team shares context
        const WeightHistory &weights; // those named for the model
        const EngineTraits &traits;
        const std::set<std::string> &tried; // instances that failed this request
        // The engines that are set apart for short prompts; see engine_groups.hpp.
        const std::set<std::string> &shortGroup;
        // The part of the engines that is considered beside those that have the context or are
        // preferred for it; see partToConsider(). `draw` says which: another number, other ones.
        double consideredPart = 1.0;
        std::uint64_t draw = 0;
        // Cold engines to which only few nodes may send, this one among them: always considered,
        // as nobody else puts them to use.
        std::set<std::string> coldToUse = {};
        // Of the engines of the service.
        PrefillPace pace = {};
    };

    // Nothing: no engine may take the request now.
    std::optional<EngineChoice> choose(const Question &question,
                                       const std::vector<const UpstreamRecord *> &engines,
                                       const UpstreamLoadTracker &loads,
                                       const UpstreamHealth &health,
                                       ContextDirectory &contexts) const;

    // Whether a request that is sent now and begins after such a wait may begin on the weights.
    bool beginsInTime(std::uint64_t version, Duration beginsAfter,
                      const WeightHistory &weights) const;

    // The request is sent as it was chosen: what follows for where its context lies.
    static void noteSent(const EngineChoice &choice, const Prompt &prompt,
                         ContextDirectory &contexts);

private:
    // What does not differ between engines that serve the same weights.
    struct Weights
    {
        std::uint64_t version = 0;
        std::string salt;
        ContextDirectory::Holder holder; // the store with the context; without address: none
        double storeTokens = 0.0; // that others fetch there
        double cost = 0.0; // of answers on them
        bool isReplaced = false;
        bool isHeld = false; // some engine has the context, as believed
    };
    struct Rated
    {
        const UpstreamRecord *engine = nullptr;
        Weights *weights = nullptr;
        bool isInGroup = false; // of engines for prompts of this size
        std::uint64_t hash = 0; // of its instance id
        std::uint64_t weight = 0; // by which all nodes rank it for the context
        std::size_t rank = 0; // zero: the engine that all nodes prefer
        bool holdsContext = false;
        bool fetches = true; // the context, where a store has it
        UpstreamLoad load;
        double cost = 0.0;
    };

    // What does not differ between engines at all.
    struct Terms
    {
        bool isShort = false;
        std::uint64_t context = 0;
        double sharedTokens = 0.0;
    };

    void rate(Rated &rated, const Terms &terms, const Question &question,
              const UpstreamLoadTracker &loads, const UpstreamHealth &health) const;
    static bool isConsidered(const Rated &rated, const Question &question);
    static void rank(std::vector<Rated> &rated, const Terms &terms,
                     const std::set<std::string> &shortGroup);
    double computeWeight(const Rated &rated, const Terms &terms) const;
    double readAgainWeight() const;
    bool mayUse(const UpstreamRecord &engine, const Question &question,
                const UpstreamHealth &health) const;
    double queueCost(const UpstreamLoad &load, const Terms &terms) const;
    double waitingCost(const UpstreamLoad &load, const Terms &terms,
                       const Question &question) const;
    static std::size_t missingMemory(const UpstreamLoad &load, const Question &question);
    Duration timeToBegin(const UpstreamLoad &load, const Question &question,
                         const Weights &weights) const;
    double storeWait(const Weights &weights, double sharedTokens) const;
    double versionCost(std::uint64_t version, const WeightHistory &weights) const;
    Weights weightsOf(std::uint64_t version, const Question &question,
                      const UpstreamLoadTracker &loads, const ContextDirectory &contexts) const;
    double contextCost(Rated &rated, const Terms &terms) const;
    std::size_t contextToSave(const Prompt &prompt, const PromptPart &part) const;
    EngineChoice complete(const Rated &rated, const Terms &terms, const Question &question,
                          ContextDirectory &contexts) const;

    const Clock &m_clock;
    const Limits m_limits;
};

} // namespace fordwood

#endif // FORDWOOD_ENGINE_CHOOSER_HPP_INCLUDED
