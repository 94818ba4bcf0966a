// SPDX-License-Identifier: MIT
#include "apps/controld/control_inbox.hpp"

#include <thread>
#include <utility>

namespace fordwood::apps {

namespace {

constexpr std::size_t kRingSize = 16'384; // about a second of permit requests at full load
constexpr Duration kFullRingPoll = std::chrono::milliseconds(1); // between attempts to push

// A lost release would occupy a slot until the stream ends. Permit requests are sent again.
bool isDroppable(const wire::PermitCommands &commands)
{
    return commands.releases().empty() && commands.withdrawals().empty()
           && commands.claim_ends().empty();
}

} // namespace

ControlInbox::ControlInbox(adapters::Metrics &metrics) : m_metrics(metrics), m_ring(kRingSize) { }

void ControlInbox::requestStop(std::shared_ptr<std::promise<HandedKeys>> keys)
{
    pushBlocking(StopEvent{std::move(keys)});
}

void ControlInbox::onHeadRead(const ConfigHead &head)
{
    pushBlocking(HeadEvent{head});
}

void ControlInbox::onListRead(const VmList &list)
{
    pushBlocking(ListEvent{list});
}

void ControlInbox::onBlobsRead(const std::vector<Blob> &blobs)
{
    pushBlocking(BlobsEvent{blobs});
}

void ControlInbox::onReachabilityChanged(bool reachable)
{
    pushBlocking(ReachableEvent{reachable});
}

bool ControlInbox::commandsArrived(HolderId holder, wire::PermitCommands commands)
{
    if (!isDroppable(commands)) {
        pushBlocking(CommandsEvent{holder, std::move(commands)});
        return true;
    }
    const bool isQueued = m_ring.tryPush(CommandsEvent{holder, std::move(commands)});
    if (!isQueued)
        m_metrics.countRefusal(Reason::RingFull);
    return isQueued;
}

void ControlInbox::holderGone(HolderId holder)
{
    pushBlocking(HolderGoneEvent{holder});
}

void ControlInbox::linkUp(const std::string &peer)
{
    pushBlocking(LinkEvent{peer, true});
}

void ControlInbox::linkDown(const std::string &peer)
{
    pushBlocking(LinkEvent{peer, false});
}

void ControlInbox::updateArrived(const std::string &peer, PeerUpdate update)
{
    pushBlocking(UpdateEvent{peer, std::move(update)});
}

void ControlInbox::onKeysReceived(HandedKeys keys)
{
    pushBlocking(KeysReceivedEvent{std::move(keys)});
}

void ControlInbox::onEnginePaused(const std::string &upstream, bool isPaused)
{
    pushBlocking(EnginePausedEvent{upstream, isPaused});
}

void ControlInbox::onChainsReceived(std::map<std::uint32_t, TenureChain> chains)
{
    pushBlocking(ChainsEvent{std::move(chains)});
}

// Waits for space in the ring. For events that must not be lost; must not be called on a thread
// that serves callers.
void ControlInbox::pushBlocking(const ControlEvent &event)
{
    while (!m_ring.tryPush(event) && !m_closed)
        std::this_thread::sleep_for(kFullRingPoll);
}

} // namespace fordwood::apps
