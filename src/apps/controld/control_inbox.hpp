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

// The bounded ring between the adapters' threads and the control thread. Hears all adapters, and
// decides what may be refused when the ring is full: only commands that their sender repeats.
class ControlInbox : public PlatformListener,
                     public adapters::PermitListener,
                     public adapters::PeerListener,
                     public TenureListener,
                     public WeightLoadListener
{
public:
    explicit ControlInbox(adapters::Metrics &metrics);

    // For the control thread alone: the next event, waiting for `timeout` at most, or at once.
    std::optional<ControlEvent> pop(Duration timeout) { return m_ring.pop(timeout); }
    std::optional<ControlEvent> tryPop() { return m_ring.tryPop(); }

    // This node stops; what it hands over comes by the promise.
    void requestStop(std::shared_ptr<std::promise<HandedKeys>> keys);

    // The control thread takes no more: whoever waits for a place goes on, and its event is lost.
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
