// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_CONTROLD_PLATFORM_DUTY_HPP_INCLUDED
#define FORDWOOD_APPS_CONTROLD_PLATFORM_DUTY_HPP_INCLUDED

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "adapters/observe/metrics.hpp"
#include "adapters/platform/etcd_store.hpp"
#include "adapters/platform/proto_head_codec.hpp"
#include "config/settings.hpp"
#include "fordwood/submission.hpp"
#include "fordwood/vm_list.hpp"

namespace fordwood::apps {

// A configuration read from the platform: checked, with every piece.
struct FetchedConfiguration
{
    ConfigHead head;
    std::vector<StoredPiece> pieces;
};

// What the platform's threads report. Called from those threads.
class PlatformListener
{
public:
    virtual ~PlatformListener() = default;
    virtual void configurationFetched(FetchedConfiguration fetched) = 0;
    virtual void vmListRead(VmList list) = 0;
    virtual void platformReachable(bool reachable) = 0;
};

// Reads the platform: one thread watches the head of the configuration and fetches pieces that
// changed, one reads the VM list.
class PlatformDuty
{
public:
    PlatformDuty(const config::PlatformSettings &settings, PlatformListener &listener,
                 adapters::Metrics &metrics);
    ~PlatformDuty();

    void start();
    void stop();

private:
    void watchHead();
    bool followHead();
    bool take(const std::string &bytes);
    bool fetch(const ConfigHead &head);
    void readList();
    void setReachable(bool reachable, const std::string &why);
    bool pause(Duration time);

    const config::PlatformSettings m_settings;
    PlatformListener &m_listener;
    adapters::Metrics &m_metrics;
    adapters::EtcdStore m_store;
    adapters::ProtoHeadCodec m_codec;
    HeadGuard m_guard;
    std::map<std::string, std::string> m_texts; // pieces of the last configuration, by digest
    std::thread m_headThread;
    std::thread m_listThread;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::shared_ptr<adapters::KeyWatch> m_watch;
    int m_reachable = -1; // unknown, no, yes
};

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_CONTROLD_PLATFORM_DUTY_HPP_INCLUDED
