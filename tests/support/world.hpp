// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_SUPPORT_WORLD_HPP_INCLUDED
#define FORDWOOD_TESTS_SUPPORT_WORLD_HPP_INCLUDED

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fordwood/allowance_allocator.hpp"
#include "fordwood/dispatcher.hpp"
#include "fordwood/fleet_view.hpp"
#include "fordwood/key_registry.hpp"
#include "fordwood/permit_scheduler.hpp"
#include "fordwood/weight_load_planner.hpp"
#include "support/replica_fleet.hpp"

namespace fordwood::support {

// Faults that a test injects into the decisions, to show that the checks detect them.
enum class Mutation {
    None,
    SaysNotRun, // a broken attempt is reported as not run
    ForgetsBoot, // a restarted key holder is taken for its predecessor
    HidesLeaving, // owners are not told that an upstream is leaving
    RunsEveryClaim, // every claim of a key is granted
    LosesRefusals, // some rejections never reach their callers
    RepeatsAll, // all requests are treated as repeatable
    HandsOverTenuresOnly, // a planned stop hands over the tenures without the keys
    HidesSlots, // nodes do not see each other's load slots
    GrantsEveryWish, // a team's owner grants more than the team's ceiling
};

// How requests are routed to engines: by the decisions under test, or by a common baseline
// algorithm with a queue in each engine.
enum class Routing { Fordwood, RoundRobin, LeastLoaded, TwoChoices, PrefixHash };

// Model of engines that compute prompts sequentially at a fixed rate and cache computed contexts.
struct EngineModel
{
    bool on = false; // when off, every run takes the same time
    double prefillTokensPerSecond = 10'000;
    Duration tokenTime = std::chrono::milliseconds(31);
    std::size_t cacheTokens = 120'000; // evicts the least recently used context first
    Duration loadLag = std::chrono::milliseconds(500); // age of the load that the baselines use
};

struct WorldSize
{
    Routing routing = Routing::Fordwood;
    EngineModel engineModel;
    int nodes = 8;
    int domains = 4;
    int engines = 6;
    std::size_t slots = 4;
    std::uint64_t seed = 1;
    bool direct = true; // requests are sent without permits while there is no contention
    bool staticParts = false; // no owners; every node gets an equal share of each upstream
    std::map<std::string, double> shares; // of teams
    std::map<std::string, std::int64_t> ceilings; // of teams: requests running at once
    Mutation mutation = Mutation::None;
};

// A request that a caller sends in a test.
struct WorldRequest
{
    int node = 0; // the node that receives it
    std::string team = "team-0";
    bool service = false; // a plain service call instead of a completion
    bool repeatable = true;
    std::string key; // idempotency key; empty: none
    WallTime issued{}; // of the key
    Duration deadline = std::chrono::seconds(20);
    std::uint64_t context = 0; // shared with other requests; zero: with none
    std::size_t contextTokens = 0;
    std::size_t questionTokens = 0;
    std::size_t newTokens = 0;
};

// How a request ended.
struct WorldResult
{
    WorldRequest request;
    bool ended = false;
    bool answered = false;
    bool repeatedAnswer = false;
    TimePoint sent{};
    bool nodePaused = false; // its entry VM was paused while it was open
    bool nodeDied = false; // its entry VM died, so the caller got no answer
    Verdict verdict;
    int runs = 0; // number of runs that upstreams started for it
    TimePoint firstToken{};
    std::size_t uncachedTokens = 0;
};

// Simulates complete nodes without I/O: replicators, owners, key registries and dispatchers share
// one manual clock, and fake upstreams only count runs and take time. Checks the invariants after
// each step.
class World
{
public:
    explicit World(const WorldSize &size);

    // Runs until the configuration is active, the links are up and tenures cover the present.
    void settle();

    // Submits the standard configuration with the given weight version. Returns the version of the
    // configuration, or zero if it was rejected.
    std::uint64_t submit(const std::string &weightVersion);

    std::size_t send(const WorldRequest &request); // returns the request's number
    void run(Duration time);

    void kill(int node); // the whole VM
    void restart(int node);
    void pause(int node, bool paused);
    void cutDomain(const std::string &domain, bool cut) { fleet.setDomainIsolated(domain, cut); }
    void setPlatformDown(bool down) { fleet.setPlatformDown(down); }
    void loseNextReplies(int n);
    void setPlatformSlow(bool slow) { fleet.store.slow = slow; }
    // Two operators submit at the same moment. Returns the version of each, zero if rejected.
    std::pair<std::uint64_t, std::uint64_t> submitBoth(const std::string &one,
                                                       const std::string &other);
    void setLeaving(const std::string &upstream, bool leaving);
    void breakUpstream(const std::string &upstream); // all its runs fail
    void refuseNext(const std::string &upstream, int n);
    void leaveCaller(std::size_t request);
    void stopNode(int node); // planned: finishes its requests, accepts no more

    const WorldResult &result(std::size_t request) const { return m_results[request]; }
    std::size_t requests() const { return m_results.size(); }
    std::size_t open() const;
    // The first violated invariant, with the time; empty when there is none.
    const std::string &violation() const { return m_violation; }
    std::size_t runsOn(const std::string &upstream) const;
    const std::string &versionOn(const std::string &upstream) const;
    // The maximum number of engines that may load weights at once.
    static constexpr std::size_t kMostLoads = 2;
    // Calls to the platform for load slots so far.
    std::uint64_t loadReads() const { return m_loadReads; }
    std::uint64_t loadWrites() const { return m_loadWrites; }
    // Messages between dispatchers and owners so far.
    std::uint64_t permitMessages() const { return m_permitMessages; }
    std::uint64_t steps() const { return m_steps; }

    ReplicaFleet fleet;

private:
    static constexpr Duration kHop = std::chrono::milliseconds(20); // of a message
    using Place = std::pair<int, std::uint64_t>; // a node and its boot
    struct Node
    {
        std::unique_ptr<Dispatcher> dispatcher;
        std::unique_ptr<PermitScheduler> book;
        std::unique_ptr<AllowanceAllocator> allowances;
        std::unique_ptr<KeyRegistry> keys;
        std::unique_ptr<WeightLoadPlanner> loads;
        std::shared_ptr<const FleetView> view;
        std::string viewMark; // identifies the state that the view was built from
        std::map<CallId, std::size_t> calls; // to requests
        std::set<std::string> streams; // owners with an open stream
        TimePoint nextTenures{};
        bool stopping = false;
    };
    struct Upstream
    {
        std::size_t running = 0;
        int refuse = 0;
        std::size_t runs = 0;
        std::optional<TimePoint> leavingSince;
        std::string version = "v1"; // of its weights
        std::string loads; // the version being loaded; empty: none
        TimePoint loadedAt{};
        std::int64_t fence = 0; // of the newest order
        bool checksFences = false;
        TimePoint prefillFree{};
        std::list<std::pair<std::uint64_t, std::size_t>> cache; // context and tokens, newest first
        std::size_t cachedTokens = 0;
        std::deque<std::pair<TimePoint, std::size_t>>
            pastLoads; // earlier sums of running and queued
        std::size_t queued = 0; // runs that a baseline sent
    };
    struct Run // an attempt in progress
    {
        Place place;
        SendCall send;
        std::size_t request = 0;
        TimePoint arrives{};
        TimePoint ends{};
        bool begun = false;
        bool baseline = false; // no dispatcher sent it
    };
    struct Event // handled by a node in a later step
    {
        TimePoint at{};
        Place to;
        std::function<void(Node &)> handle;
    };

    void step();
    void startNode(int node);
    void refreshView(int node);
    std::shared_ptr<const FleetView> withoutOwners(int node) const;
    void carryOut(int node, const Action &action);
    void sendCall(int node, const SendCall &send);
    void answerOwners(int node);
    void breakStreams();
    void tellHolderGone(const std::string &owner, HolderId holder);
    struct Holders // the members that may hold tenures, as one node sees them
    {
        std::vector<KeyHolder> holders;
        std::vector<std::uint64_t> hashes;
        KeyHolder of(std::uint32_t partition) const;
    };
    Holders holdersSeenBy(int node, bool withItself) const;
    void extendTenures(int node);
    void handOverKeys(int node);
    void tellChains(int from, const std::map<std::uint32_t, TenureChain> &chains);
    void moveLoads(int node);
    void carryOutLoad(int node, const LoadAction &action);
    void orderLoad(const OrderLoad &order);
    void finishLoads();
    void postLater(int to, Duration delay, std::function<void(Node &)> handle);
    void moveRuns();
    void sendByBaseline(std::size_t request);
    void sampleLoads();
    std::string baselineEngine(std::uint64_t context);
    std::size_t laggingLoad(const std::string &engine) const;
    void compute(Upstream &upstream, Run &run);
    static std::size_t takeUncached(Upstream &upstream, const WorldRequest &request,
                                    std::size_t most);
    void endRun(Run &run, const AttemptFailure *failure);
    void finishRequest(int node, CallId call, bool answered, const Verdict &verdict);
    void checkAll();
    void checkCeilings();
    void violate(const std::string &what);
    void post(int to, std::function<void(Node &)> handle);
    HolderId holderOf(const Place &place) const;
    int indexOf(const std::string &member) const;
    Configuration configurationOf(const std::string &weightVersion) const;
    Place placeOf(int node) const { return {node, fleet.boot(node)}; }

    WorldSize m_size;
    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    std::map<std::string, Upstream> m_upstreams;
    std::vector<Run> m_runs;
    std::vector<Event> m_events;
    std::vector<WorldResult> m_results;
    std::map<std::pair<std::string, std::string>, int> m_runsByKey; // team and key
    CallId m_nextCall = 1;
    std::uint64_t m_steps = 0;
    std::size_t m_nextEngine = 0;
    std::uint64_t m_permitMessages = 0;
    std::uint64_t m_loadReads = 0;
    std::uint64_t m_loadWrites = 0;
    TimePoint m_lastDisturbance{}; // may delay the propagation of a leaving upstream
    std::string m_violation;
};

} // namespace fordwood::support

#endif // FORDWOOD_TESTS_SUPPORT_WORLD_HPP_INCLUDED
