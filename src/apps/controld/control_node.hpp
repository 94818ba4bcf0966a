// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_CONTROLD_CONTROL_NODE_HPP_INCLUDED
#define FORDWOOD_APPS_CONTROLD_CONTROL_NODE_HPP_INCLUDED

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <thread>
#include <variant>
#include <vector>

#include <grpcpp/server.h>

#include "adapters/grpc/control_service.hpp"
#include "adapters/grpc/peer_links.hpp"
#include "adapters/grpc/permit_service.hpp"
#include "adapters/http/admin_server.hpp"
#include "adapters/observe/metrics.hpp"
#include "adapters/system_clock.hpp"
#include "adapters/threads/bounded_ring.hpp"
#include "apps/common/daemon.hpp"
#include "apps/controld/load_duty.hpp"
#include "apps/controld/platform_duty.hpp"
#include "apps/controld/tenure_duty.hpp"
#include "config/configuration_assembler.hpp"
#include "fordwood/allowance_book.hpp"
#include "fordwood/fleet_view.hpp"
#include "fordwood/key_registry.hpp"
#include "fordwood/replicator.hpp"

namespace fordwood::apps {

// One controld: takes part in spreading the configuration and the members, tells them to the entryd
// of its VM, and grants permits for the upstreams that it owns. All decisions are made on one
// thread.
class ControlNode : public Daemon,
                    private PlatformListener,
                    private adapters::PermitListener,
                    private adapters::PeerListener,
                    private TenureListener,
                    private LoadListener
{
public:
    explicit ControlNode(const config::Settings &settings);
    ~ControlNode() override;

    bool start() override;
    void beginStop() override;
    void finishStop() override;

private:
    struct CommandsEvent
    {
        HolderId holder;
        wire::PermitCommands commands;
    };
    struct HolderGoneEvent
    {
        HolderId holder;
    };
    struct HeadEvent
    {
        ConfigHead head;
    };
    struct ListEvent
    {
        VmList list;
    };
    struct BlobsEvent
    {
        std::vector<Blob> blobs;
    };
    struct ReachableEvent
    {
        bool reachable;
    };
    struct LinkEvent
    {
        std::string peer;
        bool up;
    };
    struct UpdateEvent
    {
        std::string peer;
        PeerUpdate update;
    };
    struct ChainsEvent
    {
        std::map<std::uint32_t, TenureChain> chains;
    };
    struct EngineHeldEvent
    {
        std::string upstream;
        bool held;
    };
    struct KeysHandedEvent
    {
        HandedKeys keys;
    };
    struct StopEvent
    {
        std::shared_ptr<std::promise<HandedKeys>> keys; // what this process hands over
    };
    using ControlEvent = std::variant<CommandsEvent, HolderGoneEvent, HeadEvent, ListEvent,
                                      BlobsEvent, ReachableEvent, LinkEvent, UpdateEvent,
                                      ChainsEvent, EngineHeldEvent, KeysHandedEvent, StopEvent>;

    // PlatformListener, PermitListener and PeerListener, on the threads of those adapters
    void headRead(const ConfigHead &head) override;
    void listRead(const VmList &list) override;
    void blobsRead(const std::vector<Blob> &blobs) override;
    void platformReachable(bool reachable) override;
    bool commandsArrived(HolderId holder, wire::PermitCommands commands) override;
    void holderGone(HolderId holder) override;
    void linkUp(const std::string &peer) override;
    void linkDown(const std::string &peer) override;
    void updateArrived(const std::string &peer, PeerUpdate update) override;
    void chainsLearned(std::map<std::uint32_t, TenureChain> chains) override;
    void keysHanded(HandedKeys keys) override;
    void engineHeld(const std::string &upstream, bool held) override;
    void pushSurely(const ControlEvent &event);

    // On the control thread
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
    void on(const EngineHeldEvent &event);
    void on(const KeysHandedEvent &event);
    void on(const StopEvent &event);
    void carryOut(const ReplicatorAction &action);
    void applyConfiguration(const ApplyConfiguration &action);
    void applyMembers(const ApplyMembers &action);
    void raise(const ReplicatorAlarm &alarm);
    void sendPermits();
    void tellTenures();
    void rebuild();
    void planLoads(const std::vector<OwnedUpstream> &owned);
    void publish();
    void updateStatus();

    const config::Settings m_settings;
    adapters::SystemClock m_clock;
    const std::uint64_t m_boot; // names the start of this process
    adapters::ProtoHeadCodec m_codec;
    adapters::Metrics m_metrics;
    adapters::BoundedRing<ControlEvent> m_ring;
    Replicator m_replicator;
    PermitBook m_book;
    AllowanceBook m_allowances;
    KeyRegistry m_keys;
    adapters::ControlService m_controlService;
    adapters::PermitService m_permitService;
    adapters::PeerLinks m_links;
    PlatformDuty m_platform;
    TenureDuty m_tenures;
    LoadDuty m_loads;
    adapters::AdminServer m_admin;
    std::unique_ptr<grpc::Server> m_server;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};

    // Of the control thread alone:
    config::ConfigurationAssembler m_assembler;
    ConfigHead m_head; // in force on this node
    std::vector<StoredPiece> m_pieces;
    std::shared_ptr<const Configuration> m_configuration;
    std::vector<Member> m_members;
    std::size_t m_listedMembers = 0;
    std::set<std::string> m_leavingUpstreams;
    bool m_reachable = false;
};

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CONTROLD_CONTROL_NODE_HPP_INCLUDED
