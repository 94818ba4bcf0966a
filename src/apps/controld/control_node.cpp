// SPDX-License-Identifier: MIT
#include "apps/controld/control_node.hpp"

#include <grpcpp/server_builder.h>

#include "adapters/grpc/key_codec.hpp"
#include "adapters/grpc/peer_codec.hpp"
#include "adapters/observe/event_log.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood::apps {

namespace {

using adapters::Event;
using adapters::logEvent;

constexpr std::size_t kRingSize = 16'384;
constexpr Duration kBusyWait = std::chrono::milliseconds(20);
constexpr Duration kIdleWait = std::chrono::milliseconds(200);
constexpr Duration kReplicatorTick = std::chrono::milliseconds(200);
constexpr Duration kReopenLinks = std::chrono::seconds(1);
constexpr std::size_t kEventsPerRound = 256;

adapters::DirectAnswer adminAnswer(const adapters::Metrics &metrics, const std::string &path)
{
    if (path == "/metrics")
        return {200, "text/plain; version=0.0.4", metrics.text(), {}};
    if (path == "/healthz")
        return {200, "text/plain", "ok\n", {}};
    return adapters::answerOf(Verdict::of(Reason::UnknownRoute));
}

Member selfOf(const config::Settings &settings)
{
    return {settings.node.name, settings.node.failureDomain, settings.node.region,
            settings.control.listen, false};
}

std::uint64_t bootOf(const Clock &clock)
{
    return static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
}

} // namespace

ControlNode::ControlNode(const config::Settings &settings)
    : m_settings(settings), m_boot(bootOf(m_clock)), m_ring(kRingSize),
      m_replicator(selfOf(settings), m_boot, m_clock, m_codec, {},
                   stableHash(settings.node.name, m_boot)),
      m_book(m_clock), m_allowances(m_clock, {}), m_keys({settings.node.name, m_boot}, m_clock, {}),
      m_permitService(*this), m_links(settings.node.name, *this),
      m_platform(settings.platform, *this, m_metrics),
      m_tenures(settings.platform.keyValue, settings.node.name, m_clock, *this, m_metrics),
      m_loads(settings.platform.keyValue, settings.node.name, m_boot, m_clock, *this, m_metrics),
      m_admin([this](const std::string &path) { return adminAnswer(m_metrics, path); })
{ }

ControlNode::~ControlNode() = default;

bool ControlNode::start()
{
    updateStatus();
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(m_settings.control.listen, grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(&m_controlService);
    builder.RegisterService(&m_permitService);
    builder.RegisterService(&m_links);
    builder.RegisterService(&m_tenures);
    m_server = builder.BuildAndStart();
    if (!m_server || port == 0) {
        logEvent(Event::ListenFailed, {{"address", m_settings.control.listen}});
        return false;
    }
    if (!m_admin.start(m_settings.control.metricsListen)) {
        logEvent(Event::ListenFailed, {{"address", m_settings.control.metricsListen}});
        return false;
    }
    m_platform.start();
    m_tenures.start();
    m_loads.start();
    m_replicator.start();
    m_thread = std::thread([this] { run(); });
    // Until the VM list is known, the seeds are the only peers that can be asked.
    m_links.dial(m_settings.control.seeds);
    return true;
}

void ControlNode::beginStop()
{
    const auto keys = std::make_shared<std::promise<HandedKeys>>();
    auto handed = keys->get_future();
    pushSurely(StopEvent{keys});
    m_platform.stop();
    m_tenures.stop();
    m_tenures.handOver({m_settings.node.name, m_boot}, handed.get());
    m_loads.stop();
    m_controlService.closeAll();
    m_permitService.closeAll();
}

void ControlNode::finishStop()
{
    m_links.closeAll();
    m_server->Shutdown();
    m_server->Wait();
    m_stopping = true;
    m_thread.join();
}

// ---------------------------------------------------------------- from the adapters

void ControlNode::headRead(const ConfigHead &head)
{
    pushSurely(HeadEvent{head});
}

void ControlNode::listRead(const VmList &list)
{
    pushSurely(ListEvent{list});
}

void ControlNode::blobsRead(const std::vector<Blob> &blobs)
{
    pushSurely(BlobsEvent{blobs});
}

void ControlNode::platformReachable(bool reachable)
{
    pushSurely(ReachableEvent{reachable});
}

bool ControlNode::commandsArrived(HolderId holder, wire::PermitCommands commands)
{
    if (commands.releases().empty() && commands.withdrawals().empty()
        && commands.claim_ends().empty()) {
        const bool taken = m_ring.tryPush(CommandsEvent{holder, std::move(commands)});
        if (!taken)
            m_metrics.countRefusal(Reason::RingFull);
        return taken;
    }
    // A release that got lost would block a place for as long as the stream lives.
    pushSurely(CommandsEvent{holder, std::move(commands)});
    return true;
}

void ControlNode::holderGone(HolderId holder)
{
    pushSurely(HolderGoneEvent{holder});
}

void ControlNode::linkUp(const std::string &peer)
{
    pushSurely(LinkEvent{peer, true});
}

void ControlNode::linkDown(const std::string &peer)
{
    pushSurely(LinkEvent{peer, false});
}

void ControlNode::updateArrived(const std::string &peer, PeerUpdate update)
{
    pushSurely(UpdateEvent{peer, std::move(update)});
}

void ControlNode::keysHanded(HandedKeys keys)
{
    pushSurely(KeysHandedEvent{std::move(keys)});
}

void ControlNode::engineHeld(const std::string &upstream, bool held)
{
    pushSurely(EngineHeldEvent{upstream, held});
}

void ControlNode::chainsLearned(std::map<std::uint32_t, TenureChain> chains)
{
    pushSurely(ChainsEvent{std::move(chains)});
}

// For events that must not be lost and whose threads may wait: never a caller's thread.
void ControlNode::pushSurely(const ControlEvent &event)
{
    while (!m_ring.tryPush(event) && !m_stopping)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

// ---------------------------------------------------------------- the control thread

void ControlNode::run()
{
    TimePoint nextTick = m_clock.now();
    TimePoint nextReopen = m_clock.now() + kReopenLinks;
    while (!m_stopping) {
        auto event = m_ring.pop(m_book.hasWaiting() ? kBusyWait : kIdleWait);
        for (std::size_t n = 0; event; ++n) {
            std::visit([this](auto &it) { on(it); }, *event);
            event = n < kEventsPerRound ? m_ring.tryPop() : std::nullopt;
        }
        const TimePoint now = m_clock.now();
        if (now >= nextTick) {
            m_replicator.tick();
            m_keys.tick();
            tellTenures();
            nextTick = now + kReplicatorTick;
        }
        if (now >= nextReopen) {
            m_links.reopen();
            nextReopen = now + kReopenLinks;
        }
        for (const ReplicatorAction &it : m_replicator.takeActions())
            carryOut(it);
        sendPermits();
    }
}

void ControlNode::sendPermits()
{
    m_book.tick();
    const auto answers = m_book.takeAnswers();
    for (const PermitAnswer &it : answers) {
        if (!it.granted)
            m_metrics.countRefusal(it.reason);
    }
    m_permitService.send(answers);
}

void ControlNode::on(const CommandsEvent &event)
{
    for (const wire::Held &it : event.commands.held())
        m_book.hold(event.holder, it.permit_id(), it.upstream(), it.team());
    for (const wire::Release &it : event.commands.releases()) {
        if (it.pushed_back())
            m_book.pushedBack(event.holder, it.permit_id(), it.upstream());
        else
            m_book.release(event.holder, it.permit_id(), it.upstream(), it.cost());
    }
    for (const wire::Withdraw &it : event.commands.withdrawals())
        m_book.withdraw(event.holder, it.ask_id(), it.upstream());
    for (const wire::Ask &it : event.commands.asks()) {
        PermitAsk ask;
        ask.holder = event.holder;
        ask.askId = it.ask_id();
        ask.upstream = it.upstream();
        ask.team = it.team();
        ask.cost = it.cost();
        ask.priority = it.priority();
        ask.wait = std::chrono::milliseconds(it.wait_ms());
        ask.prompt = {it.prefix_hash(), it.context_tokens(), it.question_tokens()};
        m_book.ask(ask);
    }
    for (const wire::AllowanceAsk &it : event.commands.allowance_asks()) {
        const AllowanceAsk ask{event.holder, it.ask_id(), it.team(), it.used(), it.wanted()};
        const Allowance allowance = m_allowances.ask(ask);
        if (allowance.amount < ask.wanted)
            m_metrics.count("fordwood_allowances_short_total");
        m_permitService.sendAllowance(ask, allowance);
    }
    for (const wire::ClaimEnd &it : event.commands.claim_ends())
        m_keys.finish(event.holder, adapters::keyOf(it), static_cast<RunState>(it.state()),
                      adapters::fromWire(it.answer()));
    for (const wire::Claim &it : event.commands.claims()) {
        const ClaimAnswer answer = m_keys.claim(event.holder, adapters::keyOf(it));
        if (answer.decision == ClaimAnswer::Decision::Refuse)
            m_metrics.countRefusal(answer.reason);
        m_permitService.sendClaim(event.holder, it.claim_id(), answer);
    }
}

void ControlNode::on(const HolderGoneEvent &event)
{
    m_book.dropHolder(event.holder);
    m_keys.dropClaimant(event.holder);
}

void ControlNode::on(const HeadEvent &event)
{
    m_replicator.platformHead(event.head);
}

void ControlNode::on(const ListEvent &event)
{
    m_replicator.platformList(event.list);
}

void ControlNode::on(const BlobsEvent &event)
{
    m_replicator.platformBlobs(event.blobs);
}

void ControlNode::on(const ReachableEvent &event)
{
    m_reachable = event.reachable;
    updateStatus();
}

void ControlNode::on(const LinkEvent &event)
{
    if (event.up)
        m_replicator.linkUp(event.peer);
    else
        m_replicator.linkDown(event.peer);
}

void ControlNode::on(const UpdateEvent &event)
{
    m_replicator.updateArrived(event.peer, event.update);
}

void ControlNode::on(const ChainsEvent &event)
{
    for (const auto &[partition, chain] : event.chains)
        m_keys.setChain(partition, chain);
}

void ControlNode::on(const EngineHeldEvent &event)
{
    m_book.setHeld(event.upstream, event.held);
}

void ControlNode::on(const KeysHandedEvent &event)
{
    m_keys.takeOver(event.keys);
}

void ControlNode::on(const StopEvent &event)
{
    m_replicator.stop();
    event.keys->set_value(m_keys.close());
}

void ControlNode::carryOut(const ReplicatorAction &action)
{
    if (const auto *update = std::get_if<SendUpdate>(&action)) {
        m_links.send(update->peer, update->update);
    } else if (const auto *keep = std::get_if<KeepLinks>(&action)) {
        std::vector<std::string> addresses;
        for (const Member &it : keep->peers)
            addresses.push_back(it.controlAddress);
        m_links.dial(addresses);
    } else if (const auto *reading = std::get_if<ReadPlatform>(&action)) {
        m_platform.setReading(reading->enabled);
    } else if (const auto *fetch = std::get_if<FetchBlobs>(&action)) {
        m_platform.fetch(*fetch);
    } else if (const auto *configuration = std::get_if<ApplyConfiguration>(&action)) {
        applyConfiguration(*configuration);
    } else if (const auto *members = std::get_if<ApplyMembers>(&action)) {
        applyMembers(*members);
    } else if (const auto *alarm = std::get_if<ReplicatorAlarm>(&action)) {
        raise(*alarm);
    }
}

void ControlNode::applyConfiguration(const ApplyConfiguration &action)
{
    config::ConfigErrors errors;
    auto configuration = m_assembler.assemble(action.pieces, errors);
    if (!configuration) {
        logEvent(Event::ConfigurationDamaged,
                 {{"version", action.head.version},
                  {"error", errors.empty() ? "" : errors.front().toString()}});
        m_metrics.count("fordwood_configuration_damaged_total");
        return;
    }
    m_configuration = std::move(configuration);
    m_head = action.head;
    m_pieces = action.pieces;
    logEvent(Event::ConfigurationApplied, {{"version", m_head.version},
                                           {"pieces", m_pieces.size()},
                                           {"submission", m_head.submissionId}});
    rebuild();
}

void ControlNode::applyMembers(const ApplyMembers &action)
{
    if (action.members != m_members)
        logEvent(Event::MembersChanged, {{"members", action.members.size()}});
    if (action.leavingUpstreams != m_leavingUpstreams)
        logEvent(Event::UpstreamsLeaving, {{"leaving", action.leavingUpstreams.size()}});
    m_members = action.members;
    m_listedMembers = action.listed;
    m_leavingUpstreams = action.leavingUpstreams;
    rebuild();
}

void ControlNode::raise(const ReplicatorAlarm &alarm)
{
    switch (alarm.kind) {
    case ReplicatorAlarm::Kind::OlderHead:
        logEvent(Event::OlderHeadSeen, {{"seen", alarm.seen}, {"kept", alarm.kept}});
        m_metrics.count("fordwood_older_head_total");
        break;
    case ReplicatorAlarm::Kind::DamagedConfiguration:
        logEvent(Event::ConfigurationDamaged, {{"version", alarm.seen}});
        m_metrics.count("fordwood_configuration_damaged_total");
        break;
    case ReplicatorAlarm::Kind::Orphaned:
        logEvent(Event::Orphaned, {{"version", alarm.kept}});
        m_metrics.count("fordwood_orphaned_total");
        break;
    }
}

// Who may hold keys, by the boots that the members' liveness tells.
void ControlNode::tellTenures()
{
    std::vector<TenureMember> members;
    std::map<std::string, std::uint64_t> boots;
    for (const Member &it : m_members) {
        const std::uint64_t boot
            = it.name == m_settings.node.name ? m_boot : m_replicator.bootOf(it.name);
        boots[it.name] = boot;
        if (!it.leaving && boot != 0)
            members.push_back({{it.name, boot}, it.controlAddress});
    }
    m_keys.setAlive(std::move(boots));
    m_tenures.setMembers(std::move(members));
}

void ControlNode::rebuild()
{
    if (!m_configuration)
        return updateStatus();
    const FleetView view(m_head.version, m_configuration, m_members, m_leavingUpstreams,
                         m_settings.node.failureDomain, m_listedMembers);
    std::vector<OwnedUpstream> owned;
    for (const UpstreamConfig *it : view.ownedBy(selfOf(m_settings)))
        owned.push_back({it->name, it->slots, view.isLeaving(it->name), it->prefillTokensPerSecond,
                         static_cast<std::size_t>(it->cacheTokens)});
    std::map<std::string, double> shares;
    std::map<std::string, std::size_t> pools;
    for (const auto &[name, it] : m_configuration->teams) {
        shares[name] = it.share;
        const Member *owner = it.maxRunning > 0 ? view.teamOwner(name) : nullptr;
        if (owner != nullptr && owner->name == m_settings.node.name)
            pools[name] = view.ceilingPool(it);
    }
    m_allowances.setPools(pools);
    m_book.setShares(std::move(shares));
    m_book.setUpstreams(owned);
    planLoads(owned);
    publish();
    updateStatus();
}

// Tells the load duty which weights the owned engines must serve.
void ControlNode::planLoads(const std::vector<OwnedUpstream> &owned)
{
    LoadDuty::Plan plan;
    plan.configVersion = m_head.version;
    plan.mostAtOnce = m_configuration->limits.maxLoadsAtOnce;
    plan.members = m_members.size();
    for (const OwnedUpstream &it : owned) {
        const UpstreamConfig &upstream = m_configuration->upstreams.at(it.name);
        if (upstream.kind != UpstreamKind::Engine || it.leaving)
            continue;
        for (const std::string &model : upstream.models)
            plan.targets.push_back({it.name, upstream.address, model,
                                    m_configuration->models.at(model).weightVersion});
    }
    m_loads.setPlan(std::move(plan));
}

void ControlNode::publish()
{
    auto snapshot = std::make_shared<wire::Snapshot>();
    *snapshot->mutable_head() = adapters::toWire(m_head);
    snapshot->mutable_head()->clear_recent_submission_ids();
    snapshot->mutable_head()->clear_delta();
    for (const StoredPiece &it : m_pieces) {
        wire::PieceReference *reference = snapshot->mutable_manifest()->add_pieces();
        reference->set_name(it.name);
        reference->set_sha256(it.sha256);
        wire::Piece *piece = snapshot->add_new_pieces();
        piece->set_name(it.name);
        piece->set_sha256(it.sha256);
        piece->set_text(it.text);
    }
    for (const Member &it : m_members)
        *snapshot->add_members() = adapters::toWire(it);
    for (const std::string &it : m_leavingUpstreams)
        snapshot->add_leaving_upstreams(it);
    snapshot->set_listed_members(static_cast<std::uint32_t>(m_listedMembers));
    m_controlService.publish(snapshot);
}

void ControlNode::updateStatus()
{
    wire::StatusReply status;
    status.set_node(m_settings.node.name);
    status.set_failure_domain(m_settings.node.failureDomain);
    status.set_version(m_head.version);
    status.set_submission_id(m_head.submissionId);
    status.set_manifest_sha256(m_head.manifestSha256);
    status.set_platform_reachable(m_reachable);
    status.set_live_members(static_cast<std::uint32_t>(m_members.size()));
    status.set_owned_upstreams(static_cast<std::uint32_t>(m_book.owned()));
    status.set_relay(m_replicator.isRelay());
    status.set_links(static_cast<std::uint32_t>(m_replicator.links()));
    status.set_reads_platform(m_replicator.readsPlatform());
    status.set_build(FORDWOOD_VERSION);
    m_controlService.setStatus(status);
    m_metrics.setGauge("fordwood_configuration_version", static_cast<double>(m_head.version));
    m_metrics.setGauge("fordwood_members", static_cast<double>(m_members.size()));
    m_metrics.setGauge("fordwood_leaving_upstreams",
                       static_cast<double>(m_leavingUpstreams.size()));
    m_metrics.setGauge("fordwood_owned_upstreams", static_cast<double>(m_book.owned()));
    m_metrics.setGauge("fordwood_owned_ceilings", static_cast<double>(m_allowances.teams()));
    m_metrics.setGauge("fordwood_idempotency_keys", static_cast<double>(m_keys.keys()));
    m_metrics.setGauge("fordwood_relay", m_replicator.isRelay() ? 1 : 0);
    m_metrics.setGauge("fordwood_links", static_cast<double>(m_replicator.links()));
    m_metrics.setGauge("fordwood_reads_platform", m_replicator.readsPlatform() ? 1 : 0);
    m_metrics.setGauge("fordwood_platform_reachable", m_reachable ? 1 : 0);
}

} // namespace fordwood::apps
