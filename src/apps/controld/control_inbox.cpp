// SPDX-License-Identifier: MIT
#include "apps/controld/control_inbox.hpp"

#include <thread>
#include <utility>

namespace fordwood::apps {

namespace {

constexpr std::size_t kRingSize = 16'384; // events; our choice: a second of asks at full load
constexpr Duration kPlacePoll = std::chrono::milliseconds(1); // between looks for a free place

// A release that got lost would block a place for as long as the stream lives; an ask is sent
// again.
bool mayBeLost(const wire::PermitCommands &commands)
{
    return commands.releases().empty() && commands.withdrawals().empty()
           && commands.claim_ends().empty();
}

} // namespace

ControlInbox::ControlInbox(adapters::Metrics &metrics) : m_metrics(metrics), m_ring(kRingSize) { }

void ControlInbox::stopRequested(std::shared_ptr<std::promise<HandedKeys>> keys)
{
    pushSurely(StopEvent{std::move(keys)});
}

void ControlInbox::headRead(const ConfigHead &head)
{
    pushSurely(HeadEvent{head});
}

void ControlInbox::listRead(const VmList &list)
{
    pushSurely(ListEvent{list});
}

void ControlInbox::blobsRead(const std::vector<Blob> &blobs)
{
    pushSurely(BlobsEvent{blobs});
}

void ControlInbox::platformReachable(bool reachable)
{
    pushSurely(ReachableEvent{reachable});
}

bool ControlInbox::commandsArrived(HolderId holder, wire::PermitCommands commands)
{
    if (!mayBeLost(commands)) {
        pushSurely(CommandsEvent{holder, std::move(commands)});
        return true;
    }
    const bool taken = m_ring.tryPush(CommandsEvent{holder, std::move(commands)});
    if (!taken)
        m_metrics.countRefusal(Reason::RingFull);
    return taken;
}

void ControlInbox::holderGone(HolderId holder)
{
    pushSurely(HolderGoneEvent{holder});
}

void ControlInbox::linkUp(const std::string &peer)
{
    pushSurely(LinkEvent{peer, true});
}

void ControlInbox::linkDown(const std::string &peer)
{
    pushSurely(LinkEvent{peer, false});
}

void ControlInbox::updateArrived(const std::string &peer, PeerUpdate update)
{
    pushSurely(UpdateEvent{peer, std::move(update)});
}

void ControlInbox::keysHanded(HandedKeys keys)
{
    pushSurely(KeysHandedEvent{std::move(keys)});
}

void ControlInbox::engineHeld(const std::string &upstream, bool held)
{
    pushSurely(EngineHeldEvent{upstream, held});
}

void ControlInbox::chainsLearned(std::map<std::uint32_t, TenureChain> chains)
{
    pushSurely(ChainsEvent{std::move(chains)});
}

// For events that must not be lost and whose threads may wait: never a caller's thread.
void ControlInbox::pushSurely(const ControlEvent &event)
{
    while (!m_ring.tryPush(event) && !m_closed)
        std::this_thread::sleep_for(kPlacePoll);
}

} // namespace fordwood::apps
