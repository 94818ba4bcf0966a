// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_CONTROLD_CONTROL_INBOX_HPP_INCLUDED
#define FORDWOOD_APPS_CONTROLD_CONTROL_INBOX_HPP_INCLUDED

#include <atomic>
#include <optional>

#include "adapters/grpc/peer_links.hpp"
#include "adapters/observe/metrics.hpp"
#include "adapters/threads/bounded_ring.hpp"
#include "apps/controld/control_events.hpp"
#include "apps/controld/platform_reader.hpp"
#include "apps/controld/tenure_service.hpp"
#include "apps/controld/weight_loader.hpp"

namespace fordwood::apps {

// The bounded event queue of the control thread. Implements the listeners of all adapters. When the
// queue is full, only commands that their sender repeats are rejected; all other events wait.
class ControlInbox : public PlatformListener,
                     public adapters::PermitListener,
                     public adapters::PeerListener,
                     public TenureListener,
                     public WeightLoadListener
{
public:
    explicit ControlInbox(adapters::Metrics &metrics);

    // Return the next event; pop() waits up to `timeout`, tryPop() does not wait. Only for the
    // control thread.
    std::optional<ControlEvent> pop(Duration timeout) { return m_ring.pop(timeout); }
    std::optional<ControlEvent> tryPop() { return m_ring.tryPop(); }

    // Queues the stop of this node. The control thread fulfills `keys` with the keys to hand over.
    void requestStop(std::shared_ptr<std::promise<HandedKeys>> keys);

    // Call when the control thread no longer reads events: waiting threads return, and their events
    // are dropped.
    void close() { m_closed = true; }

    // PlatformListener
    void onHeadRead(const ConfigHead &head) override;
    void onListRead(const VmList &list) override;
    void onBlobsRead(const std::vector<Blob> &blobs) override;
    void onReachabilityChanged(bool reachable) override;
    // PermitListener
    bool commandsArrived(HolderId holder, wire::PermitCommands commands) override;
    void holderGone(HolderId holder) override;
    // PeerListener
    void linkUp(const std::string &peer) override;
    void linkDown(const std::string &peer) override;
    void updateArrived(const std::string &peer, PeerUpdate update) override;
    // TenureListener
    void onChainsReceived(std::map<std::uint32_t, TenureChain> chains) override;
    void onKeysReceived(HandedKeys keys) override;
    // WeightLoadListener
    void onEnginePaused(const std::string &upstream, bool isPaused) override;

private:
    void pushBlocking(const ControlEvent &event);

    adapters::Metrics &m_metrics;
    adapters::BoundedRing<ControlEvent> m_ring;
    std::atomic<bool> m_closed{false};
};

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CONTROLD_CONTROL_INBOX_HPP_INCLUDED
