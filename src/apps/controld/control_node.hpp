// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_CONTROLD_CONTROL_NODE_HPP_INCLUDED
#define FORDWOOD_APPS_CONTROLD_CONTROL_NODE_HPP_INCLUDED

#include <atomic>
#include <memory>
#include <thread>

#include <grpcpp/server.h>

#include "adapters/grpc/control_service.hpp"
#include "adapters/grpc/peer_links.hpp"
#include "adapters/grpc/permit_service.hpp"
#include "adapters/http/admin_server.hpp"
#include "adapters/observe/metrics.hpp"
#include "adapters/platform/proto_head_codec.hpp"
#include "adapters/system_clock.hpp"
#include "apps/common/daemon.hpp"
#include "apps/controld/active_fleet.hpp"
#include "apps/controld/control_inbox.hpp"
#include "apps/controld/permit_command_handler.hpp"
#include "apps/controld/platform_reader.hpp"
#include "apps/controld/tenure_service.hpp"
#include "apps/controld/weight_loader.hpp"
#include "fordwood/allowance_allocator.hpp"
#include "fordwood/key_registry.hpp"
#include "fordwood/permit_scheduler.hpp"
#include "fordwood/replicator.hpp"

namespace fordwood::apps {

// The controld process: takes part in replicating the configuration and the member list, publishes
// them to the entryd of its VM, and grants permits for the upstreams that it owns. All decisions
// are made on one thread.
class ControlNode : public Daemon
{
public:
    explicit ControlNode(const config::Settings &settings);
    ~ControlNode() override;

    bool start() override;
    void beginStop(TimePoint signalledAt) override;
    void finishStop() override;

private:
    // On the control thread:
    void run();
    void on(const CommandsEvent &event);
    void on(const HolderGoneEvent &event);
    void on(const HeadEvent &event);
    void on(const ListEvent &event);
    void on(const BlobsEvent &event);
    void on(const ReachableEvent &event);
    void on(const LinkEvent &event);
    void on(const UpdateEvent &event);
    void on(const ChainsEvent &event);
    void on(const EnginePausedEvent &event);
    void on(const KeysReceivedEvent &event);
    void on(const StopEvent &event);
    void execute(const ReplicatorAction &action);
    void applyConfiguration(const ApplyConfiguration &action);
    void applyMembers(const ApplyMembers &action);
    void reportAlarm(const ReplicatorAlarm &alarm);
    void updateTenureMembers();
    void updateComponents();
    void updateStatus();

    const config::Settings m_settings;
    adapters::SystemClock m_clock;
    const std::uint64_t m_boot; // identifies this run of the process
    adapters::ProtoHeadCodec m_codec;
    adapters::Metrics m_metrics;
    ControlInbox m_inbox;
    Replicator m_replicator;
    PermitScheduler m_permitScheduler;
    AllowanceAllocator m_allowances;
    KeyRegistry m_keys;
    adapters::ControlService m_controlService;
    adapters::PermitService m_permitService;
    adapters::PeerLinks m_links;
    PlatformReader m_platformReader;
    TenureService m_tenureService;
    WeightLoader m_weightLoader;
    PermitCommandHandler m_commandHandler;
    adapters::AdminServer m_admin;
    std::unique_ptr<grpc::Server> m_server;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};

    // Used only on the control thread:
    ActiveFleet m_fleet;
    bool m_reachable = false;
};

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CONTROLD_CONTROL_NODE_HPP_INCLUDED
