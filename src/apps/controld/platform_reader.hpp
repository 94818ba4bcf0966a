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

// Receives what the platform reader reads. Called on the reader's threads.
class PlatformListener
{
public:
    virtual ~PlatformListener() = default;
    virtual void onHeadRead(const ConfigHead &head) = 0;
    virtual void onListRead(const VmList &list) = 0;
    virtual void onBlobsRead(const std::vector<Blob> &blobs) = 0;
    virtual void onReachabilityChanged(bool reachable) = 0;
};

// Reads from the platform: one thread watches the configuration head, one reads the VM list, one
// fetches values by digest. The first two run only while reading is enabled.
class PlatformReader
{
public:
    PlatformReader(const config::PlatformSettings &settings, PlatformListener &listener,
                   adapters::Metrics &metrics);
    ~PlatformReader();

    void start();
    void stop();

    // Enables or disables watching the head and reading the VM list.
    void setReading(bool enabled);

    // Fetches values; those that do not exist are left out of the result.
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
    std::optional<bool> m_reachable; // used only on the head thread
};

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CONTROLD_PLATFORM_READER_HPP_INCLUDED
