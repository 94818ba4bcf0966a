// SPDX-License-Identifier: MIT
#include "apps/controld/platform_duty.hpp"

#include <optional>

#include "adapters/http/http_get.hpp"
#include "adapters/observe/event_log.hpp"
#include "adapters/platform/vm_list.hpp"
#include "config/read_configuration.hpp"

namespace fordwood::apps {

namespace {

using adapters::Event;
using adapters::logEvent;

constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr Duration kRetryPause = std::chrono::milliseconds(300);

} // namespace

PlatformDuty::PlatformDuty(const config::PlatformSettings &settings, PlatformListener &listener,
                           adapters::Metrics &metrics)
    : m_settings(settings), m_listener(listener), m_metrics(metrics), m_store(settings.keyValue)
{ }

PlatformDuty::~PlatformDuty()
{
    stop();
}

void PlatformDuty::start()
{
    m_headThread = std::thread([this] { watchHead(); });
    m_listThread = std::thread([this] { readList(); });
}

void PlatformDuty::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        if (m_watch)
            m_watch->cancel();
    }
    m_wake.notify_all();
    if (m_headThread.joinable())
        m_headThread.join();
    if (m_listThread.joinable())
        m_listThread.join();
}

void PlatformDuty::watchHead()
{
    while (true) {
        if (!followHead() && pause(kRetryPause))
            return;
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return;
    }
}

// Reads the head, then follows its changes until the connection breaks. False on any failure.
bool PlatformDuty::followHead()
{
    m_metrics.count("fordwood_platform_reads_total");
    const auto stored = m_store.get(headKey(), kCallTimeout);
    if (!stored) {
        setReachable(false, stored.error().text);
        return false;
    }
    setReachable(true, "");
    std::int64_t revision = 0;
    if (*stored) {
        revision = (*stored)->revision;
        if (!take((*stored)->value))
            return false;
    }
    const auto watch = m_store.watch(headKey(), revision);
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            watch->cancel();
        m_watch = watch;
    }
    m_metrics.count("fordwood_platform_watches_total");
    while (true) {
        const auto change = watch->next();
        if (!change) {
            setReachable(false, change.error().text);
            return false;
        }
        if (!take(change->value))
            return false;
    }
}

// Takes a head if it is newer than all before. False when it could not be fetched.
bool PlatformDuty::take(const std::string &bytes)
{
    const auto head = m_codec.decodeHead(bytes);
    if (!head) {
        logEvent(Event::ConfigurationDamaged, {{"what", "head"}});
        m_metrics.count("fordwood_configuration_damaged_total");
        return true;
    }
    if (head->version < m_guard.head().version) {
        logEvent(Event::OlderHeadSeen, {{"seen", head->version}, {"kept", m_guard.head().version}});
        m_metrics.count("fordwood_older_head_total");
        return true;
    }
    return head->version == m_guard.head().version || fetch(*head);
}

bool PlatformDuty::fetch(const ConfigHead &head)
{
    m_metrics.count("fordwood_platform_reads_total");
    const auto manifest = m_store.get(manifestKey(head.manifestSha256), kCallTimeout);
    if (!manifest)
        return false;
    auto pieces = *manifest ? m_codec.decodeManifest((*manifest)->value) : std::nullopt;
    if (!pieces) {
        logEvent(Event::ConfigurationDamaged, {{"what", "manifest"}});
        return true;
    }
    std::vector<std::string> keys;
    for (const StoredPiece &it : *pieces) {
        if (m_texts.count(it.sha256) == 0)
            keys.push_back(pieceKey(it.sha256));
    }
    m_metrics.count("fordwood_platform_reads_total", keys.empty() ? 0 : 1);
    const auto values = m_store.getMany(keys, kCallTimeout);
    if (!values)
        return false;
    std::map<std::string, std::string> texts;
    std::size_t next = 0;
    for (StoredPiece &it : *pieces) {
        const auto known = m_texts.find(it.sha256);
        if (known != m_texts.end())
            it.text = known->second;
        else if (const auto &value = (*values)[next++])
            it.text = value->value;
        if (m_codec.digest(it.text) != it.sha256) {
            logEvent(Event::ConfigurationDamaged, {{"what", "piece"}, {"piece", it.name}});
            return true;
        }
        texts[it.sha256] = it.text;
    }
    m_texts = std::move(texts);
    m_guard.offer(head);
    m_listener.configurationFetched({head, std::move(*pieces)});
    return true;
}

void PlatformDuty::readList()
{
    bool lost = false;
    std::optional<VmList> last;
    do {
        m_metrics.count("fordwood_vm_list_reads_total");
        const auto text = adapters::httpGet("http://" + m_settings.vmList + "/vms", kCallTimeout);
        const auto list = text ? adapters::parseVmList(*text) : std::nullopt;
        if (!list && !lost)
            logEvent(Event::VmListLost, {{"why", text ? "not a VM list" : text.error()}});
        if (list && lost)
            logEvent(Event::VmListBack);
        lost = !list;
        if (list && list != last) {
            last = list;
            m_listener.vmListRead(*list);
        }
    } while (!pause(m_settings.vmListPeriod));
}

void PlatformDuty::setReachable(bool reachable, const std::string &why)
{
    if (m_reachable == static_cast<int>(reachable))
        return;
    const bool first = m_reachable < 0;
    m_reachable = static_cast<int>(reachable);
    if (!reachable)
        logEvent(Event::PlatformLost, {{"why", why}});
    else if (!first)
        logEvent(Event::PlatformBack);
    m_listener.platformReachable(reachable);
}

// True when the duty is being stopped.
bool PlatformDuty::pause(Duration time)
{
    std::unique_lock lock(m_mutex);
    return m_wake.wait_for(lock, time, [&] { return m_stopping; });
}

} // namespace fordwood::apps
