// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_CONTROLD_PLATFORM_READER_HPP_INCLUDED
#define FORDWOOD_APPS_CONTROLD_PLATFORM_READER_HPP_INCLUDED

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "adapters/observe/metrics.hpp"
#include "adapters/platform/etcd_store.hpp"
#include "adapters/platform/proto_head_codec.hpp"
#include "adapters/threads/bounded_ring.hpp"
#include "config/settings.hpp"
#include "fordwood/replicator.hpp"

namespace fordwood::apps {

// What the platform's threads report. Called from those threads.
class PlatformListener
{
public:
    virtual ~PlatformListener() = default;
    virtual void onHeadRead(const ConfigHead &head) = 0;
    virtual void onListRead(const VmList &list) = 0;
    virtual void onBlobsRead(const std::vector<Blob> &blobs) = 0;
    virtual void onReachabilityChanged(bool reachable) = 0;
};

// Reads the platform, as long as this node is told to: one thread watches the head of the
// configuration, one reads the VM list, one fetches values by digest.
class PlatformReader
{
public:
    PlatformReader(const config::PlatformSettings &settings, PlatformListener &listener,
                   adapters::Metrics &metrics);
    ~PlatformReader();

    void start();
    void stop();

    // Whether to watch the head and to read the list.
    void setReading(bool enabled);

    // Fetches values; those that are not there are left out of the answer.
    void fetch(const FetchBlobs &fetch);

private:
    void runHeadThread();
    void readAndWatchHead();
    void reportHead(const std::string &bytes);
    void runListThread();
    void runFetchThread();
    void setReachable(bool reachable, const std::string &why);
    bool waitUntilReading();
    void sleepUnlessStopping(Duration time);
    bool isStopping();

    const config::PlatformSettings m_settings;
    PlatformListener &m_listener;
    adapters::Metrics &m_metrics;
    adapters::EtcdStore m_store;
    adapters::ProtoHeadCodec m_codec;
    adapters::BoundedRing<FetchBlobs> m_fetches;
    std::thread m_headThread;
    std::thread m_listThread;
    std::thread m_fetchThread;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    bool m_isReading = false;
    std::shared_ptr<adapters::KeyWatch> m_watch;
    std::optional<bool> m_reachable; // of the head's thread alone
};

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CONTROLD_PLATFORM_READER_HPP_INCLUDED
