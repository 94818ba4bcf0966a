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

// What the other threads tell the control thread.

// Commands of one entry node.
struct CommandsEvent
{
    HolderId holder;
    wire::PermitCommands commands;
};

// The connection of an entry node is gone.
struct HolderGoneEvent
{
    HolderId holder;
};

// The platform's head of the configuration.
struct HeadEvent
{
    ConfigHead head;
};

// The platform's list of VMs.
struct ListEvent
{
    VmList list;
};

// Values that were read from the platform.
struct BlobsEvent
{
    std::vector<Blob> blobs;
};

// Whether the platform answers.
struct ReachableEvent
{
    bool isReachable;
};

// A link to a peer is up or down.
struct LinkEvent
{
    std::string peer;
    bool isUp;
};

// A peer's update.
struct UpdateEvent
{
    std::string peer;
    PeerUpdate update;
};

// Who held the keys of some partitions, and until when.
struct ChainsEvent
{
    std::map<std::uint32_t, TenureChain> chains;
};

// An owned engine is to be kept free of new requests, or no longer.
struct EnginePausedEvent
{
    std::string upstream;
    bool isPaused;
};

// Keys that a node which stops hands to this one.
struct KeysReceivedEvent
{
    HandedKeys keys;
};

// This node stops.
struct StopEvent
{
    std::shared_ptr<std::promise<HandedKeys>> keys; // what this process hands over
};

using ControlEvent = std::variant<CommandsEvent, HolderGoneEvent, HeadEvent, ListEvent, BlobsEvent,
                                  ReachableEvent, LinkEvent, UpdateEvent, ChainsEvent,
                                  EnginePausedEvent, KeysReceivedEvent, StopEvent>;

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CONTROLD_CONTROL_EVENTS_HPP_INCLUDED
