// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_CONTROLD_CONTROL_EVENTS_HPP_INCLUDED
#define FORDWOOD_APPS_CONTROLD_CONTROL_EVENTS_HPP_INCLUDED

#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "adapters/grpc/permit_service.hpp"
#include "fordwood/key_registry.hpp"
#include "fordwood/replicator.hpp"

namespace fordwood::apps {

// Events that other threads send to the control thread.

// Commands from one entry node.
struct CommandsEvent
{
    HolderId holder;
    wire::PermitCommands commands;
};

// The connection to an entry node was lost.
struct HolderGoneEvent
{
    HolderId holder;
};

// The configuration head was read from the platform.
struct HeadEvent
{
    ConfigHead head;
};

// The VM list was read from the platform.
struct ListEvent
{
    VmList list;
};

// Values were fetched from the platform.
struct BlobsEvent
{
    std::vector<Blob> blobs;
};

// The platform became reachable or unreachable.
struct ReachableEvent
{
    bool isReachable;
};

// A link to a peer was opened or closed.
struct LinkEvent
{
    std::string peer;
    bool isUp;
};

// An update from a peer.
struct UpdateEvent
{
    std::string peer;
    PeerUpdate update;
};

// The holders of the keys of some partitions, past and present, with the ends of their tenures.
struct ChainsEvent
{
    std::map<std::uint32_t, TenureChain> chains;
};

// Pauses or resumes the granting of permits for an owned engine.
struct EnginePausedEvent
{
    std::string upstream;
    bool isPaused;
};

// A node that is stopping handed its keys over to this one.
struct KeysReceivedEvent
{
    HandedKeys keys;
};

// This node is stopping.
struct StopEvent
{
    std::shared_ptr<std::promise<HandedKeys>> keys; // fulfilled with the keys to hand over
};

using ControlEvent = std::variant<CommandsEvent, HolderGoneEvent, HeadEvent, ListEvent, BlobsEvent,
                                  ReachableEvent, LinkEvent, UpdateEvent, ChainsEvent,
                                  EnginePausedEvent, KeysReceivedEvent, StopEvent>;

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CONTROLD_CONTROL_EVENTS_HPP_INCLUDED
