// SPDX-License-Identifier: MIT
#include "apps/controld/platform_reader.hpp"

#include "adapters/http/http_get.hpp"
#include "adapters/observe/event_log.hpp"
#include "adapters/platform/vm_list.hpp"

namespace fordwood::apps {

namespace {

using adapters::Event;
using adapters::logEvent;

constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr Duration kRetryPause = std::chrono::milliseconds(300);
constexpr Duration kFetchWait = std::chrono::milliseconds(200);
constexpr std::size_t kFetchRing = 64;

} // namespace

PlatformReader::PlatformReader(const config::PlatformSettings &settings, PlatformListener &listener,
                               adapters::Metrics &metrics)
    : m_settings(settings), m_listener(listener), m_metrics(metrics), m_store(settings.keyValue),
      m_fetches(kFetchRing)
{ }

PlatformReader::~PlatformReader()
{
    stop();
}

void PlatformReader::start()
{
    m_headThread = std::thread([this] { runHeadThread(); });
    m_listThread = std::thread([this] { runListThread(); });
    m_fetchThread = std::thread([this] { runFetchThread(); });
}

void PlatformReader::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        if (m_watch)
            m_watch->cancel();
    }
    m_wake.notify_all();
    for (std::thread *it : {&m_headThread, &m_listThread, &m_fetchThread}) {
        if (it->joinable())
            it->join();
    }
}

void PlatformReader::setReading(bool enabled)
{
    {
        const std::lock_guard lock(m_mutex);
        m_isReading = enabled;
        if (!enabled && m_watch)
            m_watch->cancel();
    }
    m_wake.notify_all();
}

void PlatformReader::fetch(const FetchBlobs &fetch)
{
    // A full ring drops the request; the replicator requests missing values again.
    if (!m_fetches.tryPush(fetch))
        m_metrics.count("fordwood_platform_fetches_dropped_total");
}

void PlatformReader::runHeadThread()
{
    while (waitUntilReading()) {
        readAndWatchHead();
        sleepUnlessStopping(kRetryPause);
    }
}

// Reads the head, then watches it until the connection breaks or reading is disabled.
void PlatformReader::readAndWatchHead()
{
    m_metrics.count("fordwood_platform_reads_total");
    const auto stored = m_store.get(headKey(), kCallTimeout);
    if (!stored)
        return setReachable(false, stored.error().text);
    setReachable(true, "");
    std::int64_t revision = 0;
    if (*stored) {
        revision = (*stored)->revision;
        reportHead((*stored)->value);
    }
    m_metrics.count("fordwood_platform_watches_total");
    const auto watch = m_store.watch(headKey(), revision);
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping || !m_isReading)
            watch->cancel();
        m_watch = watch;
    }
    std::string why;
    while (true) {
        const auto change = watch->next();
        if (!change) {
            why = change.error().text;
            break;
        }
        reportHead(change->value);
    }
    const std::lock_guard lock(m_mutex);
    m_watch = nullptr;
    if (m_isReading && !m_stopping)
        setReachable(false, why);
}

void PlatformReader::reportHead(const std::string &bytes)
{
    if (const auto head = m_codec.decodeHead(bytes))
        return m_listener.onHeadRead(*head);
    logEvent(Event::ConfigurationDamaged, {{"what", "head"}});
    m_metrics.count("fordwood_configuration_damaged_total");
}

void PlatformReader::runListThread()
{
    bool isLost = false;
    std::string tag; // entity tag of the last list
    while (waitUntilReading()) {
        m_metrics.count("fordwood_vm_list_reads_total");
        const auto document
            = adapters::httpGet("http://" + m_settings.vmList + "/vms", kCallTimeout, tag);
        const bool unchanged = document && document->isUnchanged;
        const auto list
            = document && !unchanged ? adapters::parseVmList(document->body) : std::nullopt;
        const bool isValid = unchanged || list;
        if (!isValid && !isLost)
            logEvent(Event::VmListLost, {{"why", document ? "not a VM list" : document.error()}});
        if (isValid && isLost)
            logEvent(Event::VmListBack);
        isLost = !isValid;
        if (list) {
            m_metrics.count("fordwood_vm_list_bytes_total",
                            static_cast<double>(document->body.size()));
            m_listener.onListRead(*list);
            tag = document->etag;
        }
        sleepUnlessStopping(m_settings.vmListPeriod);
    }
}

void PlatformReader::runFetchThread()
{
    while (!isStopping()) {
        const auto fetch = m_fetches.pop(kFetchWait);
        if (!fetch)
            continue;
        std::vector<std::string> digests = fetch->manifests;
        std::vector<std::string> keys;
        for (const std::string &it : fetch->manifests)
            keys.push_back(manifestKey(it));
        for (const std::string &it : fetch->pieces) {
            digests.push_back(it);
            keys.push_back(pieceKey(it));
        }
        m_metrics.count("fordwood_platform_reads_total");
        const auto values = m_store.getMany(keys, kCallTimeout);
        if (!values)
            continue;
        std::vector<Blob> blobs;
        for (std::size_t it = 0; it < keys.size(); ++it) {
            if ((*values)[it])
                blobs.push_back({digests[it], (*values)[it]->value});
        }
        m_listener.onBlobsRead(blobs);
    }
}

void PlatformReader::setReachable(bool reachable, const std::string &why)
{
    if (m_reachable == reachable)
        return;
    const bool first = !m_reachable;
    m_reachable = reachable;
    if (!reachable)
        logEvent(Event::PlatformLost, {{"why", why}});
    else if (!first)
        logEvent(Event::PlatformBack);
    m_listener.onReachabilityChanged(reachable);
}

// Returns false when the reader is being stopped.
bool PlatformReader::waitUntilReading()
{
    std::unique_lock lock(m_mutex);
    m_wake.wait(lock, [this] { return m_stopping || m_isReading; });
    return !m_stopping;
}

void PlatformReader::sleepUnlessStopping(Duration time)
{
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, time, [this] { return m_stopping; });
}

bool PlatformReader::isStopping()
{
    const std::lock_guard lock(m_mutex);
    return m_stopping;
}

} // namespace fordwood::apps
