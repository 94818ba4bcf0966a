// SPDX-License-Identifier: MIT
#include "apps/controld/control_node.hpp"

#include <grpcpp/server_builder.h>

#include "adapters/observe/build_version.hpp"
#include "adapters/observe/event_log.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood::apps {

namespace {

using adapters::Event;
using adapters::logEvent;

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
    : m_settings(settings), m_boot(bootOf(m_clock)), m_inbox(m_metrics),
      m_replicator(selfOf(settings), m_boot, m_clock, m_codec, {},
                   stableHash(settings.node.name, m_boot)),
      m_permitScheduler(m_clock), m_allowances(m_clock, {}),
      m_keys({settings.node.name, m_boot}, m_clock, {}), m_permitService(m_inbox),
      m_links(settings.node.name, m_inbox), m_platformReader(settings.platform, m_inbox, m_metrics),
      m_tenureService(settings.platform.keyValue, settings.node.name, m_clock, m_inbox, m_metrics),
      m_weightLoader(settings.platform.keyValue, settings.node.name, m_boot, m_clock, m_inbox,
                     m_metrics),
      m_commandHandler(m_permitScheduler, m_allowances, m_keys, m_permitService, m_metrics),
      m_admin([this](const std::string &path) { return adminAnswer(m_metrics, path); }),
      m_fleet(selfOf(settings))
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
    builder.RegisterService(&m_tenureService);
    m_server = builder.BuildAndStart();
    if (!m_server || port == 0) {
        logEvent(Event::ListenFailed, {{"address", m_settings.control.listen}});
        return false;
    }
    if (!m_admin.start(m_settings.control.metricsListen)) {
        logEvent(Event::ListenFailed, {{"address", m_settings.control.metricsListen}});
        return false;
    }
    m_platformReader.start();
    m_tenureService.start();
    m_weightLoader.start();
    m_replicator.start();
    m_thread = std::thread([this] { run(); });
    // Until the VM list has been read, the seeds are the only known peers.
    m_links.setOutgoing(m_settings.control.seeds);
    return true;
}

void ControlNode::beginStop(TimePoint)
{
    const auto keys = std::make_shared<std::promise<HandedKeys>>();
    auto handedKeys = keys->get_future();
    m_inbox.requestStop(keys);
    m_platformReader.stop();
    m_tenureService.stop();
    m_tenureService.handOver({m_settings.node.name, m_boot}, handedKeys.get());
    m_weightLoader.stop();
    m_controlService.closeAll();
    m_permitService.closeAll();
}

void ControlNode::finishStop()
{
    m_links.closeAll();
    m_server->Shutdown();
    m_server->Wait();
    m_stopping = true;
    m_inbox.close();
    m_thread.join();
}

// ---------------------------------------------------------------- the control thread

void ControlNode::run()
{
    TimePoint nextTick = m_clock.now();
    TimePoint nextReopen = m_clock.now() + kReopenLinks;
    while (!m_stopping) {
        auto event = m_inbox.pop(m_permitScheduler.hasWaiting() ? kBusyWait : kIdleWait);
        for (std::size_t n = 0; event; ++n) {
            std::visit([this](auto &it) { on(it); }, *event);
            event = n < kEventsPerRound ? m_inbox.tryPop() : std::nullopt;
        }
        const TimePoint now = m_clock.now();
        if (now >= nextTick) {
            m_replicator.tick();
            m_keys.tick();
            updateTenureMembers();
            nextTick = now + kReplicatorTick;
        }
        if (now >= nextReopen) {
            m_links.reopenBroken();
            nextReopen = now + kReopenLinks;
        }
        for (const ReplicatorAction &it : m_replicator.takeActions())
            execute(it);
        m_commandHandler.sendPermits();
    }
}

void ControlNode::on(const CommandsEvent &event)
{
    m_commandHandler.execute(event.holder, event.commands);
}

void ControlNode::on(const HolderGoneEvent &event)
{
    m_commandHandler.dropHolder(event.holder);
}

void ControlNode::on(const HeadEvent &event)
{
    m_replicator.onPlatformHead(event.head);
}

void ControlNode::on(const ListEvent &event)
{
    m_replicator.onPlatformList(event.list);
}

void ControlNode::on(const BlobsEvent &event)
{
    m_replicator.onPlatformBlobs(event.blobs);
}

void ControlNode::on(const ReachableEvent &event)
{
    m_reachable = event.isReachable;
    updateStatus();
}

void ControlNode::on(const LinkEvent &event)
{
    if (event.isUp)
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

void ControlNode::on(const EnginePausedEvent &event)
{
    m_permitScheduler.setPaused(event.upstream, event.isPaused);
}

void ControlNode::on(const KeysReceivedEvent &event)
{
    m_keys.importKeys(event.keys);
}

void ControlNode::on(const StopEvent &event)
{
    m_replicator.stop();
    event.keys->set_value(m_keys.close());
}

void ControlNode::execute(const ReplicatorAction &action)
{
    if (const auto *update = std::get_if<SendUpdate>(&action)) {
        m_links.send(update->peer, update->update);
    } else if (const auto *links = std::get_if<SetOutgoingLinks>(&action)) {
        std::vector<std::string> addresses;
        for (const Member &it : links->peers)
            addresses.push_back(it.controlAddress);
        m_links.setOutgoing(addresses);
    } else if (const auto *platformReading = std::get_if<SetPlatformReading>(&action)) {
        m_platformReader.setReading(platformReading->enabled);
    } else if (const auto *fetch = std::get_if<FetchBlobs>(&action)) {
        m_platformReader.fetch(*fetch);
    } else if (const auto *configuration = std::get_if<ApplyConfiguration>(&action)) {
        applyConfiguration(*configuration);
    } else if (const auto *members = std::get_if<ApplyMembers>(&action)) {
        applyMembers(*members);
    } else if (const auto *alarm = std::get_if<ReplicatorAlarm>(&action)) {
        reportAlarm(*alarm);
    }
}

void ControlNode::applyConfiguration(const ApplyConfiguration &action)
{
    config::ConfigErrors errors;
    if (!m_fleet.apply(action, errors)) {
        logEvent(Event::ConfigurationDamaged,
                 {{"version", action.head.version},
                  {"error", errors.empty() ? "" : errors.front().toString()}});
        m_metrics.count("fordwood_configuration_damaged_total");
        return;
    }
    logEvent(Event::ConfigurationApplied, {{"version", m_fleet.head().version},
                                           {"pieces", m_fleet.pieces().size()},
                                           {"submission", m_fleet.head().submissionId}});
    updateComponents();
}

void ControlNode::applyMembers(const ApplyMembers &action)
{
    if (action.members != m_fleet.members())
        logEvent(Event::MembersChanged, {{"members", action.members.size()}});
    if (action.leavingUpstreams != m_fleet.leavingUpstreams())
        logEvent(Event::UpstreamsLeaving, {{"leaving", action.leavingUpstreams.size()}});
    m_fleet.apply(action);
    updateComponents();
}

void ControlNode::reportAlarm(const ReplicatorAlarm &alarm)
{
    switch (alarm.kind) {
    case ReplicatorAlarm::Kind::OlderHead:
        logEvent(Event::OlderHeadSeen,
                 {{"seen", alarm.offeredVersion}, {"kept", alarm.currentVersion}});
        m_metrics.count("fordwood_older_head_total");
        break;
    case ReplicatorAlarm::Kind::DamagedConfiguration:
        logEvent(Event::ConfigurationDamaged, {{"version", alarm.offeredVersion}});
        m_metrics.count("fordwood_configuration_damaged_total");
        break;
    case ReplicatorAlarm::Kind::Orphaned:
        logEvent(Event::Orphaned, {{"version", alarm.currentVersion}});
        m_metrics.count("fordwood_orphaned_total");
        break;
    }
}

// Updates the processes that may hold keys, identified by the boots in the members' liveness.
void ControlNode::updateTenureMembers()
{
    std::vector<TenureMember> members;
    std::map<std::string, std::uint64_t> boots;
    for (const Member &it : m_fleet.members()) {
        const std::uint64_t boot
            = it.name == m_settings.node.name ? m_boot : m_replicator.bootOf(it.name);
        boots[it.name] = boot;
        if (!it.leaving && boot != 0)
            members.push_back({{it.name, boot}, it.controlAddress});
    }
    m_keys.setLiveMembers(std::move(boots));
    m_tenureService.setMembers(std::move(members));
}

// Passes what follows from the active configuration and members to the other components.
void ControlNode::updateComponents()
{
    if (!m_fleet.hasConfiguration())
        return updateStatus();
    const std::vector<OwnedUpstream> owned = m_fleet.ownedUpstreams();
    m_allowances.setPools(m_fleet.ceilingPools());
    m_permitScheduler.setShares(m_fleet.teamShares());
    m_permitScheduler.setUpstreams(owned);
    m_weightLoader.setPlan(m_fleet.loadPlan(owned));
    m_controlService.publish(m_fleet.snapshot());
    updateStatus();
}

void ControlNode::updateStatus()
{
    wire::StatusReply status;
    status.set_node(m_settings.node.name);
    status.set_failure_domain(m_settings.node.failureDomain);
    status.set_version(m_fleet.head().version);
    status.set_submission_id(m_fleet.head().submissionId);
    status.set_manifest_sha256(m_fleet.head().manifestSha256);
    status.set_platform_reachable(m_reachable);
    status.set_live_members(static_cast<std::uint32_t>(m_fleet.members().size()));
    status.set_owned_upstreams(static_cast<std::uint32_t>(m_permitScheduler.owned()));
    status.set_relay(m_replicator.isRelay());
    status.set_links(static_cast<std::uint32_t>(m_replicator.links()));
    status.set_reads_platform(m_replicator.readsPlatform());
    status.set_build(adapters::buildVersion());
    m_controlService.setStatus(status);
    m_metrics.setGauge("fordwood_configuration_version",
                       static_cast<double>(m_fleet.head().version));
    m_metrics.setGauge("fordwood_members", static_cast<double>(m_fleet.members().size()));
    m_metrics.setGauge("fordwood_leaving_upstreams",
                       static_cast<double>(m_fleet.leavingUpstreams().size()));
    m_metrics.setGauge("fordwood_owned_upstreams", static_cast<double>(m_permitScheduler.owned()));
    m_metrics.setGauge("fordwood_owned_ceilings", static_cast<double>(m_allowances.teams()));
    m_metrics.setGauge("fordwood_idempotency_keys", static_cast<double>(m_keys.keys()));
    m_metrics.setGauge("fordwood_relay", m_replicator.isRelay() ? 1 : 0);
    m_metrics.setGauge("fordwood_links", static_cast<double>(m_replicator.links()));
    m_metrics.setGauge("fordwood_reads_platform", m_replicator.readsPlatform() ? 1 : 0);
    m_metrics.setGauge("fordwood_platform_reachable", m_reachable ? 1 : 0);
}

} // namespace fordwood::apps
