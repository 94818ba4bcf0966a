// SPDX-License-Identifier: MIT
#include "support/world.hpp"

#include <algorithm>

#include "fordwood/rendezvous.hpp"

namespace fordwood::support {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(20);
constexpr std::uint64_t kFleetEvery = 5; // steps between two steps of the replicators
constexpr Duration kRunTime = std::chrono::milliseconds(300);
constexpr Duration kBreakNotice = std::chrono::milliseconds(40);
// From the VM list to all nodes, plus the lifetime of a permit granted just before.
constexpr Duration kLeavingBound = std::chrono::seconds(6);
// The same after kills, network cuts and outages, when nodes must first find new relays.
constexpr Duration kAfterDisturbance = std::chrono::seconds(15);
constexpr Duration kAfterDeadline = std::chrono::seconds(2);
constexpr Duration kPermitLife = std::chrono::seconds(2);

} // namespace

World::World(const WorldSize &size)
    : fleet(size.nodes, size.domains, size.seed), m_size(size), m_random(size.seed),
      m_nodes(static_cast<std::size_t>(size.nodes))
{
    // Half of the engines check the fence of an order.
    for (int it = 0; it < size.engines; ++it)
        m_upstreams["engine-" + std::to_string(it)].checksFences = it % 2 == 0;
    m_upstreams["service-0"];
    for (int it = 0; it < size.nodes; ++it)
        startNode(it);
}

void World::settle()
{
    submit("v1");
    run(std::chrono::seconds(20));
}

std::uint64_t World::submit(const std::string &weightVersion)
{
    return fleet.submit({{"weights", weightVersion}});
}

std::pair<std::uint64_t, std::uint64_t> World::submitBoth(const std::string &one,
                                                          const std::string &other)
{
    std::uint64_t second = 0;
    fleet.store.beforeHeadWrite = [&] { second = submit(other); };
    const std::uint64_t first = submit(one);
    fleet.store.beforeHeadWrite = nullptr;
    return {first, second};
}

std::size_t World::send(const WorldRequest &request)
{
    const std::size_t number = m_results.size();
    WorldResult result;
    result.request = request;
    result.sent = fleet.clock.now();
    m_results.push_back(result);
    if (!fleet.isAlive(request.node)) {
        m_results.back().ended = true;
        m_results.back().nodeDied = true;
        return number;
    }
    if (m_size.routing != Routing::Fordwood) {
        sendByBaseline(number);
        return number;
    }
    CallRequest call;
    call.id = m_nextCall++;
    call.team = request.team;
    call.kind = request.service ? CallKind::Service : CallKind::Completion;
    call.target = request.service ? "s" : "m";
    call.prefixHash
        = request.context != 0 ? stableHash(std::to_string(request.context)) : m_random();
    const std::size_t prompt = request.contextTokens + request.questionTokens;
    if (prompt > 0)
        call.cost = static_cast<double>(prompt + request.newTokens);
    call.contextTokens = request.contextTokens;
    call.questionTokens = request.questionTokens;
    call.repeatable
        = (request.repeatable && request.key.empty()) || m_size.mutation == Mutation::RepeatsAll;
    call.deadline = fleet.clock.now() + request.deadline;
    if (!request.key.empty())
        call.key = IdempotencyKey{request.team, request.key, request.issued};
    m_nodes[static_cast<std::size_t>(request.node)].calls[call.id] = number;
    post(request.node, [call](Node &node) { node.dispatcher->begin(call); });
    return number;
}

void World::run(Duration time)
{
    for (Duration passed{0}; passed < time; passed += kStep)
        step();
}

void World::kill(int index)
{
    Node &node = m_nodes[static_cast<std::size_t>(index)];
    for (const auto &[call, request] : node.calls) {
        m_results[request].ended = true;
        m_results[request].nodeDied = true;
    }
    for (const std::string &owner : node.streams)
        tellHolderGone(owner, holderOf(placeOf(index)));
    node = Node{};
    m_lastDisturbance = fleet.clock.now();
    fleet.kill(index);
}

void World::restart(int index)
{
    kill(index);
    fleet.restart(index);
    startNode(index);
}

void World::pause(int node, bool paused)
{
    fleet.setPaused(node, paused);
}

void World::loseNextReplies(int n)
{
    fleet.store.headFaults.assign(static_cast<std::size_t>(n), FaultyStore::Fault::LostAfterEffect);
}

void World::setLeaving(const std::string &upstream, bool leaving)
{
    fleet.setLeavingUpstream(upstream, leaving);
    m_upstreams[upstream].leavingSince = leaving ? std::optional(fleet.clock.now()) : std::nullopt;
}

void World::breakUpstream(const std::string &upstream)
{
    const AttemptFailure kBroke{RunState::MayHaveRun, Reason::UpstreamBroke, "", false};
    for (Run &it : m_runs) {
        if (it.send.upstream == upstream && it.begun)
            endRun(it, &kBroke);
    }
    std::erase_if(m_runs, [&](const Run &it) { return it.send.upstream == upstream && it.begun; });
    m_upstreams[upstream].running = 0;
}

void World::refuseNext(const std::string &upstream, int n)
{
    m_upstreams[upstream].refuse = n;
}

void World::leaveCaller(std::size_t request)
{
    const int index = m_results[request].request.node;
    for (const auto &[call, number] : m_nodes[static_cast<std::size_t>(index)].calls) {
        if (number == request) {
            const CallId id = call;
            post(index, [id](Node &node) { node.dispatcher->callerLeft(id); });
        }
    }
}

void World::stopNode(int node)
{
    if (!fleet.isAlive(node) || m_nodes[static_cast<std::size_t>(node)].stopping)
        return;
    m_nodes[static_cast<std::size_t>(node)].stopping = true;
    post(node, [this, node](Node &it) {
        it.dispatcher->stop();
        fleet.stop(node);
        handOverKeys(node);
    });
}

std::size_t World::open() const
{
    return static_cast<std::size_t>(std::count_if(m_results.begin(), m_results.end(),
                                                  [](const WorldResult &it) { return !it.ended; }));
}

std::size_t World::runsOn(const std::string &upstream) const
{
    return m_upstreams.at(upstream).runs;
}

// ---------------------------------------------------------------- one step

void World::step()
{
    ++m_steps;
    fleet.clock.advance(kStep);
    if (m_steps % kFleetEvery == 0)
        fleet.stepNow();
    breakStreams();
    std::vector<Event> due;
    for (auto it = m_events.begin(); it != m_events.end();) {
        const bool dead = !fleet.isAlive(it->to.first) || fleet.boot(it->to.first) != it->to.second;
        if (!dead && (it->at > fleet.clock.now() || fleet.isPaused(it->to.first))) {
            ++it;
            continue;
        }
        if (!dead)
            due.push_back(std::move(*it));
        it = m_events.erase(it);
    }
    for (const Event &it : due)
        it.handle(m_nodes[static_cast<std::size_t>(it.to.first)]);
    moveRuns();
    sampleLoads();
    finishLoads();
    for (int it = 0; it < m_size.nodes; ++it) {
        if (!fleet.isAlive(it) || fleet.isPaused(it))
            continue;
        refreshView(it);
        Node &node = m_nodes[static_cast<std::size_t>(it)];
        extendTenures(it);
        moveLoads(it);
        node.dispatcher->tick();
        node.keys->tick();
        node.book->tick();
        for (auto actions = node.dispatcher->takeActions(); !actions.empty();
             actions = node.dispatcher->takeActions()) {
            for (const Action &action : actions)
                carryOut(it, action);
        }
        answerOwners(it);
    }
    checkAll();
}

void World::startNode(int index)
{
    Node &node = m_nodes[static_cast<std::size_t>(index)];
    const std::uint64_t boot = m_size.mutation == Mutation::ForgetsBoot ? 1 : fleet.boot(index);
    DispatcherLimits limits;
    limits.direct = m_size.direct;
    node.dispatcher = std::make_unique<Dispatcher>(fleet.clock, limits);
    node.book = std::make_unique<PermitScheduler>(fleet.clock, PermitLimits{kPermitLife, 64});
    node.allowances
        = std::make_unique<AllowanceAllocator>(fleet.clock, AllowanceAllocator::Limits{});
    node.loads = std::make_unique<WeightLoadPlanner>(fleet.member(index).name, boot, fleet.clock,
                                                     WeightLoadPlanner::Limits{}, boot);
    node.keys = std::make_unique<KeyRegistry>(KeyHolder{fleet.member(index).name, boot},
                                              fleet.clock, KeyRegistry::Limits{});
}

Configuration World::configurationOf(const std::string &weightVersion) const
{
    Configuration configuration;
    configuration.models["m"] = {"m", weightVersion};
    for (int it = 0; it < m_size.domains; ++it)
        configuration.failureDomains["domain-" + std::to_string(it)]
            = {"domain-" + std::to_string(it), "region"};
    for (const auto &[team, ceiling] : m_size.ceilings) {
        configuration.teams[team].name = team;
        configuration.teams[team].maxRunning = ceiling;
    }
    for (int it = 0; it < m_size.engines; ++it) {
        UpstreamConfig upstream;
        upstream.name = "engine-" + std::to_string(it);
        upstream.failureDomain = "domain-" + std::to_string(it % m_size.domains);
        upstream.models = {"m"};
        upstream.slots = m_size.slots;
        upstream.prefillTokensPerSecond = m_size.engineModel.prefillTokensPerSecond;
        upstream.cacheTokens = static_cast<std::int64_t>(m_size.engineModel.cacheTokens);
        upstream.refusesWhenFull = true;
        configuration.upstreams[upstream.name] = upstream;
    }
    UpstreamConfig service;
    service.name = "service-0";
    service.kind = UpstreamKind::Service;
    service.service = "s";
    service.failureDomain = "domain-0";
    service.slots = m_size.slots;
    configuration.upstreams[service.name] = service;
    return configuration;
}

// Updates a node's view from its replicator.
void World::refreshView(int index)
{
    Node &node = m_nodes[static_cast<std::size_t>(index)];
    if (fleet.version(index) == 0)
        return;
    const Replicator &replicator = fleet.replicator(index);
    const std::vector<Member> members = replicator.members();
    std::set<std::string> leaving = replicator.list().leavingUpstreams;
    if (m_size.mutation == Mutation::HidesLeaving)
        leaving.clear();
    std::string mark = std::to_string(fleet.version(index)) + "/"
                       + std::to_string(replicator.list().entryVms.size());
    for (const Member &it : members)
        mark += "," + it.name;
    for (const std::string &it : leaving)
        mark += ";" + it;
    if (mark == node.viewMark)
        return;
    node.viewMark = mark;
    auto configuration
        = std::make_shared<Configuration>(configurationOf(fleet.text(index, "weights")));
    node.view = std::make_shared<const FleetView>(fleet.version(index), configuration, members,
                                                  leaving, fleet.member(index).failureDomain,
                                                  replicator.list().entryVms.size());
    node.dispatcher->setView(m_size.staticParts ? withoutOwners(index) : node.view);
    node.book->setShares(m_size.shares);
    std::vector<OwnedUpstream> owned;
    for (const UpstreamConfig *it : node.view->ownedBy(fleet.member(index)))
        owned.push_back({it->name, it->slots, node.view->isLeaving(it->name),
                         it->prefillTokensPerSecond, static_cast<std::size_t>(it->cacheTokens)});
    node.book->setUpstreams(owned);
    std::map<std::string, std::size_t> pools;
    for (const auto &[name, it] : configuration->teams) {
        const Member *owner = node.view->teamOwner(name);
        if (owner != nullptr && owner->name == fleet.member(index).name)
            pools[name] = node.view->ceilingPool(it);
    }
    node.allowances->setPools(pools);
    std::vector<LoadTarget> targets;
    for (const OwnedUpstream &it : owned) {
        if (it.name != "service-0" && !it.leaving)
            targets.push_back({it.name, "", "m", configuration->models.at("m").weightVersion});
    }
    node.loads->setTargets(targets, fleet.version(index), kMostLoads, members.size());
}

// A view in which no member may own an upstream.
std::shared_ptr<const FleetView> World::withoutOwners(int index) const
{
    const FleetView &view = *m_nodes[static_cast<std::size_t>(index)].view;
    std::vector<Member> members = view.members();
    for (Member &it : members)
        it.leaving = true;
    return std::make_shared<const FleetView>(
        view.version(), std::make_shared<Configuration>(view.configuration()), members,
        view.leaving(), fleet.member(index).failureDomain);
}

void World::carryOut(int index, const Action &action)
{
    Node &node = m_nodes[static_cast<std::size_t>(index)];
    const HolderId holder = holderOf(placeOf(index));
    const auto toOwner = [&](const std::string &owner, auto handle) {
        const int target = indexOf(owner);
        if (target < 0 || !fleet.isAlive(target) || !fleet.canReach(index, target))
            return; // the stream is broken; breakStreams() reports that
        ++m_permitMessages;
        post(target, std::move(handle));
    };
    if (const auto *ask = std::get_if<RequestPermit>(&action)) {
        node.streams.insert(ask->owner);
        PermitRequest message;
        message.holder = holder;
        message.requestId = ask->requestId;
        message.upstream = ask->upstream;
        message.team = ask->team;
        message.cost = ask->cost;
        message.wait = ask->wait;
        message.prompt = ask->prompt;
        toOwner(ask->owner, [message](Node &it) { it.book->request(message); });
    } else if (const auto *withdrawal = std::get_if<WithdrawPermitRequest>(&action)) {
        const WithdrawPermitRequest message = *withdrawal;
        toOwner(message.owner, [holder, message](Node &it) {
            it.book->withdraw(holder, message.requestId, message.upstream);
        });
    } else if (const auto *release = std::get_if<ReleasePermit>(&action)) {
        const ReleasePermit message = *release;
        toOwner(message.owner, [holder, message](Node &it) {
            if (message.pushedBack)
                it.book->onPushback(holder, message.permitId, message.upstream);
            else
                it.book->release(holder, message.permitId, message.upstream, message.cost);
        });
    } else if (const auto *hold = std::get_if<AdoptPermit>(&action)) {
        node.streams.insert(hold->owner);
        const AdoptPermit message = *hold;
        toOwner(message.owner, [holder, message](Node &it) {
            it.book->adoptPermit(holder, message.permitId, message.upstream, message.team);
        });
    } else if (const auto *allowance = std::get_if<RequestAllowance>(&action)) {
        node.streams.insert(allowance->owner);
        AllowanceRequest message = allowance->ask;
        message.holder = holder;
        toOwner(allowance->owner, [this, index, holder, message](Node &it) {
            Allowance answer = it.allowances->allocate(message);
            if (m_size.mutation == Mutation::GrantsEveryWish)
                answer.amount = message.wanted;
            if (holder == holderOf(placeOf(index)))
                post(index, [message, answer](Node &entry) {
                    entry.dispatcher->allowanceAnswered(message.team, message.requestId, answer);
                });
        });
    } else if (const auto *claim = std::get_if<ClaimKey>(&action)) {
        node.streams.insert(claim->holder);
        const ClaimKey message = *claim;
        const bool grantAll = m_size.mutation == Mutation::RunsEveryClaim;
        toOwner(message.holder, [this, index, holder, message, grantAll](Node &it) {
            ClaimAnswer answer = it.keys->claim(holder, message.key);
            if (grantAll)
                answer.decision = ClaimAnswer::Decision::Run;
            if (holder == holderOf(placeOf(index)))
                post(index, [message, answer](Node &entry) {
                    entry.dispatcher->claimAnswered(message.claimId, answer);
                });
        });
    } else if (const auto *finish = std::get_if<FinishClaim>(&action)) {
        const FinishClaim message = *finish;
        toOwner(message.holder, [holder, message](Node &it) {
            it.keys->finish(holder, message.key, message.state, message.answer);
        });
    } else if (const auto *kept = std::get_if<EndWithStoredAnswer>(&action)) {
        m_results[node.calls.at(kept->call)].repeatedAnswer = true;
        finishRequest(index, kept->call, true, {});
    } else if (const auto *send = std::get_if<SendCall>(&action)) {
        sendCall(index, *send);
    } else if (const auto *cancel = std::get_if<CancelAttempt>(&action)) {
        std::erase_if(m_runs, [&](const Run &it) {
            const bool same = it.place == placeOf(index) && it.send.call == cancel->call
                              && it.send.attempt == cancel->attempt;
            if (same && it.begun)
                --m_upstreams[it.send.upstream].running;
            return same;
        });
    } else if (const auto *end = std::get_if<EndCall>(&action)) {
        if (m_size.mutation == Mutation::LosesRefusals && m_random() % 4 == 0)
            return;
        finishRequest(index, end->call, false, end->verdict);
    }
}

void World::sendCall(int index, const SendCall &send)
{
    const bool late = fleet.clock.now() > send.sendBy;
    if (late) {
        post(index, [send](Node &node) {
            node.dispatcher->attemptFailed(send.call, send.attempt,
                                           {RunState::NotRun, Reason::PermitExpired, "", false});
        });
        return;
    }
    Run run;
    run.place = placeOf(index);
    run.send = send;
    run.request = m_nodes[static_cast<std::size_t>(index)].calls.at(send.call);
    run.arrives = fleet.clock.now() + kHop;
    run.ends = run.arrives + kRunTime + std::chrono::milliseconds(m_random() % 200);
    m_runs.push_back(std::move(run));
}

// Moves runs forward: they arrive at their upstreams, start, and end.
void World::moveRuns()
{
    const TimePoint now = fleet.clock.now();
    std::vector<Run> keep;
    for (Run &it : m_runs) {
        Upstream &upstream = m_upstreams[it.send.upstream];
        const bool gone
            = !fleet.isAlive(it.place.first) || fleet.boot(it.place.first) != it.place.second;
        if (it.baseline && !it.begun && upstream.running >= m_size.slots) {
            keep.push_back(std::move(it)); // waits in the engine's own queue
            continue;
        }
        if (!it.begun && it.arrives <= now) {
            const bool full = upstream.running >= m_size.slots && it.send.upstream != "service-0";
            const std::string &wanted = it.send.weightVersion;
            if (!wanted.empty() && (wanted != upstream.version || !upstream.loads.empty())) {
                const AttemptFailure kOther{RunState::NotRun, Reason::VersionMismatch, "", false};
                endRun(it, &kOther);
                continue;
            }
            if (upstream.refuse > 0 || full) {
                upstream.refuse -= upstream.refuse > 0 ? 1 : 0;
                const AttemptFailure kRefused{RunState::NotRun, Reason::UpstreamPushback, "",
                                              false};
                endRun(it, &kRefused);
                continue;
            }
            it.begun = true;
            ++upstream.running;
            ++upstream.runs;
            upstream.queued -= it.baseline ? 1 : 0;
            WorldResult &result = m_results[it.request];
            ++result.runs;
            if (m_size.engineModel.on && it.send.upstream != "service-0")
                compute(upstream, it);
            if (!result.request.key.empty())
                ++m_runsByKey[{result.request.team, result.request.key}];
            if (upstream.leavingSince
                && now - *upstream.leavingSince > kLeavingBound + fleet.listLag()
                && now - m_lastDisturbance > kAfterDisturbance)
                violate("a leaving upstream got new work: " + it.send.upstream);
        }
        if (it.begun && (it.ends <= now || gone)) {
            --upstream.running;
            endRun(it, nullptr);
            continue;
        }
        if (!it.begun && gone)
            continue;
        keep.push_back(std::move(it));
    }
    m_runs = std::move(keep);
}

void World::endRun(Run &run, const AttemptFailure *failure)
{
    if (run.baseline) {
        m_results[run.request].ended = true;
        m_results[run.request].answered = failure == nullptr;
        return;
    }
    if (!fleet.isAlive(run.place.first) || fleet.boot(run.place.first) != run.place.second)
        return;
    const SendCall send = run.send;
    const int index = run.place.first;
    if (failure != nullptr) {
        AttemptFailure told = *failure;
        if (m_size.mutation == Mutation::SaysNotRun)
            told.state = RunState::NotRun;
        m_events.push_back({fleet.clock.now() + kBreakNotice, run.place, [send, told](Node &node) {
                                node.dispatcher->attemptFailed(send.call, send.attempt, told);
                            }});
        return;
    }
    post(index, [this, index, send](Node &node) {
        const auto call = node.calls.find(send.call);
        if (call == node.calls.end())
            return; // the call was abandoned meanwhile
        node.dispatcher->attemptFinished(send.call, send.attempt, 1.0, {200, "text/plain", "done"});
        finishRequest(index, send.call, true, {});
    });
}

void World::answerOwners(int index)
{
    for (const PermitAnswer &answer :
         m_nodes[static_cast<std::size_t>(index)].book->takeAnswers()) {
        const int entry = static_cast<int>(answer.holder % 1000);
        if (!fleet.isAlive(entry) || holderOf(placeOf(entry)) != answer.holder
            || !fleet.canReach(index, entry))
            continue;
        PermitReply reply;
        reply.requestId = answer.requestId;
        reply.granted = answer.granted;
        reply.permitId = answer.permitId;
        reply.waited = answer.waited;
        reply.sendWithin = answer.sendWithin;
        reply.reason = answer.reason;
        reply.firstTokenIn = answer.firstTokenIn;
        const std::string owner = fleet.member(index).name;
        ++m_permitMessages;
        post(entry, [owner, reply](Node &node) { node.dispatcher->permitAnswered(owner, reply); });
    }
}

// Breaks the streams with an end that died or is unreachable, and notifies each live end.
void World::breakStreams()
{
    for (int it = 0; it < m_size.nodes; ++it) {
        if (!fleet.isAlive(it))
            continue;
        Node &node = m_nodes[static_cast<std::size_t>(it)];
        std::vector<std::string> broken;
        for (const std::string &owner : node.streams) {
            const int target = indexOf(owner);
            if (target < 0 || !fleet.isAlive(target) || !fleet.canReach(it, target))
                broken.push_back(owner);
        }
        for (const std::string &owner : broken) {
            node.streams.erase(owner);
            post(it, [owner](Node &entry) { entry.dispatcher->ownerLost(owner); });
            tellHolderGone(owner, holderOf(placeOf(it)));
        }
    }
}

// Reports a broken stream to the owner.
void World::tellHolderGone(const std::string &owner, HolderId holder)
{
    const int target = indexOf(owner);
    if (target >= 0 && fleet.isAlive(target))
        post(target, [holder](Node &it) {
            it.book->dropHolder(holder);
            it.keys->dropClaimant(holder);
        });
}

// ---------------------------------------------------------------- invariants

void World::finishRequest(int index, CallId call, bool answered, const Verdict &verdict)
{
    Node &node = m_nodes[static_cast<std::size_t>(index)];
    const auto it = node.calls.find(call);
    if (it == node.calls.end())
        return violate("a call ended twice");
    WorldResult &result = m_results[it->second];
    node.calls.erase(it);
    if (result.ended)
        return violate("a request ended twice");
    result.ended = true;
    result.answered = answered;
    result.verdict = verdict;
    if (answered || verdict.state != RunState::NotRun)
        return;
    const bool keyRan
        = !result.request.key.empty() && m_runsByKey[{result.request.team, result.request.key}] > 0;
    if (result.runs > 0 || keyRan)
        violate("a request was refused as not run (" + std::string(info(verdict.reason).name)
                + ") but had run");
}

void World::checkAll()
{
    bool disturbed = fleet.isPlatformDown();
    for (int it = 0; it < m_size.nodes; ++it)
        disturbed = disturbed || fleet.isPaused(it) || !fleet.canReachPlatform(it);
    if (disturbed)
        m_lastDisturbance = fleet.clock.now();
    if (fleet.versionEverDecreased())
        violate("a configuration version went back");
    for (const WorldResult &it : m_results) {
        if (!it.request.repeatable && it.runs > 1)
            violate("a request that is not repeatable ran twice");
    }
    for (const auto &[key, runs] : m_runsByKey) {
        if (runs > 1)
            violate("a key ran twice: " + key.second);
    }
    checkCeilings();
    for (WorldResult &it : m_results) {
        if (it.ended)
            continue;
        it.nodePaused = it.nodePaused || fleet.isPaused(it.request.node);
        const TimePoint latest = it.sent + it.request.deadline + kAfterDeadline;
        if (!it.nodePaused && fleet.clock.now() > latest)
            violate("a request got no end");
    }
}

void World::checkCeilings()
{
    std::map<std::string, std::int64_t> running;
    for (const Run &it : m_runs)
        running[m_results[it.request].request.team] += it.begun ? 1 : 0;
    for (const auto &[team, ceiling] : m_size.ceilings) {
        if (running[team] > ceiling)
            violate("a team runs " + std::to_string(running[team]) + " of at most "
                    + std::to_string(ceiling) + " requests");
    }
}

void World::violate(const std::string &what)
{
    if (m_violation.empty())
        m_violation = what + ", at step " + std::to_string(m_steps) + " of seed "
                      + std::to_string(m_size.seed);
}

void World::post(int to, std::function<void(Node &)> handle)
{
    postLater(to, kHop, std::move(handle));
}

void World::postLater(int to, Duration delay, std::function<void(Node &)> handle)
{
    m_events.push_back({fleet.clock.now() + delay, placeOf(to), std::move(handle)});
}

HolderId World::holderOf(const Place &place) const
{
    return place.second * 1000 + static_cast<HolderId>(place.first);
}

int World::indexOf(const std::string &member) const
{
    for (int it = 0; it < m_size.nodes; ++it) {
        if (fleet.member(it).name == member)
            return it;
    }
    return -1;
}

} // namespace fordwood::support
