// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_CONTROLD_TENURE_SERVICE_HPP_INCLUDED
#define FORDWOOD_APPS_CONTROLD_TENURE_SERVICE_HPP_INCLUDED

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "adapters/observe/metrics.hpp"
#include "adapters/platform/etcd_store.hpp"
#include "fordwood/control.grpc.pb.h"
#include "fordwood/key_registry.hpp"
#include "fordwood/tenure.hpp"

namespace fordwood::apps {

// Receives tenures and handed-over keys. Called on the service's threads.
class TenureListener
{
public:
    virtual ~TenureListener() = default;
    virtual void onChainsReceived(std::map<std::uint32_t, TenureChain> chains) = 0;
    virtual void onKeysReceived(HandedKeys keys) = 0;
};

// A process that may hold tenures, and its address.
struct TenureMember
{
    KeyHolder holder;
    std::string controlAddress;
};

// Extends the tenures of the stored values that are assigned to this node, by compare-and-swap, and
// sends them to their holders. The number of writes does not grow with the fleet: each value is
// written once per period, by one node. If two nodes both consider a value theirs, one write fails
// and nothing else happens.
class TenureService : public wire::Keys::CallbackService
{
public:
    TenureService(const std::string &storeAddress, std::string self, const Clock &clock,
                  TenureListener &listener, adapters::Metrics &metrics);
    ~TenureService() override;

    void start();
    void stop();

    // Hands this process's keys and tenures over to other members during a planned stop. Call after
    // stop(). Blocks for a few seconds at most. Claims of keys that could not be handed over are
    // refused later, because their holder no longer runs.
    void handOver(const KeyHolder &self, const HandedKeys &handed);

    // Sets the processes that may hold tenures.
    void setMembers(std::vector<TenureMember> members);

    // Receives the tenure chains of this node's partitions from the node that extends them.
    grpc::ServerUnaryReactor *Learn(grpc::CallbackServerContext *context,
                                    const wire::TenureChains *request,
                                    wire::LearnReply *reply) override;

    // Receives the keys of a node that is being stopped.
    grpc::ServerUnaryReactor *HandOver(grpc::CallbackServerContext *context,
                                       const wire::HandedKeys *request,
                                       wire::LearnReply *reply) override;

private:
    struct StoredChains // one stored value and its revision
    {
        std::map<std::uint32_t, TenureChain> chains;
        std::int64_t revision = 0;
    };

    void run();
    bool sendKeys(const TenureMember &to, const HandedKeys &keys);
    bool handOverValue(std::uint32_t value, const KeyHolder &self,
                       const std::vector<TenureMember> &members,
                       const std::function<KeyHolder(std::uint32_t)> &successor);
    wire::Keys::Stub &stubOf(const std::string &address);
    void extendValue(std::uint32_t value, const std::vector<TenureMember> &members);
    std::optional<StoredChains> read(std::uint32_t value);
    void sendChains(const std::vector<TenureMember> &members,
                    const std::map<std::uint32_t, TenureChain> &chains);
    bool waitForNextPeriod();

    adapters::EtcdStore m_store;
    const std::string m_self;
    const Clock &m_clock;
    TenureListener &m_listener;
    adapters::Metrics &m_metrics;
    TenureTimings m_timings;
    std::map<std::string, std::unique_ptr<wire::Keys::Stub>> m_stubs; // by address
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<TenureMember> m_members;
    bool m_stopping = false;
};

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CONTROLD_TENURE_SERVICE_HPP_INCLUDED
