// SPDX-License-Identifier: MIT
#include "fordwood/place_lender.hpp"

#include <algorithm>
#include <utility>

namespace fordwood {

namespace {

// New connections and health checks hold a slot for a moment. Upstreams with at least this many
// slots keep one free for them.
constexpr std::size_t kReserveFrom = 8;

constexpr Duration kRateWindow = std::chrono::seconds(1);

// How often expired places and waits are looked for.
constexpr Duration kTickInterval = std::chrono::milliseconds(10);

} // namespace

std::size_t PlaceLender::usableSlots(std::size_t slots)
{
    return std::max<std::size_t>(1, slots >= kReserveFrom ? slots - 1 : slots);
}

void PlaceLender::setUpstreams(const std::vector<Upstream> &upstreams)
{
    std::unordered_map<std::uint64_t, UpstreamState> before = std::exchange(m_upstreams, {});
    for (const Upstream &it : upstreams) {
        const auto known = before.find(it.id);
        UpstreamState &state = m_upstreams[it.id];
        if (known != before.end())
            state = known->second;
        if (known == before.end() || state.slots != it.slots)
            state.limit = usableSlots(it.slots);
        state.slots = it.slots;
        state.running = it.running;
    }
    std::erase_if(m_places,
                  [this](const auto &it) { return !m_upstreams.contains(it.second.upstream); });
}

void PlaceLender::waitForReports()
{
    m_closedUntil = m_clock.now() + m_limits.maxWait;
    m_hasPeerSinceClosed = false;
}

void PlaceLender::recordPeer()
{
    if (isOpen() || std::exchange(m_hasPeerSinceClosed, true))
        return;
    m_closedUntil = std::min(m_closedUntil, m_clock.now() + m_limits.warmUp);
}

void PlaceLender::checkForStall()
{
    if (m_stallDetector.poll() > Duration::zero())
        waitForReports();
}

void PlaceLender::recordActivity()
{
    checkForStall();
    const TimePoint now = m_clock.now();
    if (!m_activeSince || now - m_lastActivity > m_limits.idleTime)
        m_activeSince = now;
    m_lastActivity = now;
}

bool PlaceLender::isIdle() const
{
    return m_waiting.empty() && m_clock.now() - m_lastActivity > m_limits.idleTime;
}

bool PlaceLender::isWarm() const
{
    return m_activeSince && m_clock.now() - *m_activeSince >= m_limits.warmUp;
}

std::size_t PlaceLender::openAt(std::uint64_t id, const UpstreamState &upstream) const
{
    const auto others = m_others.find(id);
    const std::size_t open = upstream.lent + (others == m_others.end() ? 0 : others->second);
    return isWarm() ? open : std::max(open, upstream.running);
}

void PlaceLender::setOthers(ProcessState &process, std::vector<PlaceReport::Count> others)
{
    for (const PlaceReport::Count &it : process.others) {
        const auto known = m_others.find(it.upstream);
        known->second -= it.requests;
        if (known->second == 0)
            m_others.erase(known);
    }
    std::erase_if(others, [](const PlaceReport::Count &it) { return it.requests == 0; });
    process.others = std::move(others);
    for (const PlaceReport::Count &it : process.others)
        m_others[it.upstream] += it.requests;
}

bool PlaceLender::hasPlace(std::uint64_t id, const UpstreamState &upstream) const
{
    return isOpen() && m_clock.now() >= upstream.closedUntil
           && openAt(id, upstream) < upstream.limit;
}

bool PlaceLender::tryLend(const PlaceRequest &request)
{
    for (const std::uint64_t it : request.upstreams) {
        const auto upstream = m_upstreams.find(it);
        if (upstream == m_upstreams.end() || !hasPlace(it, upstream->second))
            continue;
        lend(request, it);
        return true;
    }
    return false;
}

void PlaceLender::lend(const PlaceRequest &request, std::uint64_t upstream)
{
    const TimePoint now = m_clock.now();
    m_places[request.id] = {upstream, now, now + request.lease};
    m_upstreams[upstream].lent += 1;
    m_decisions.push_back({request.id.process, {request.id.number, upstream, {}}});
}

void PlaceLender::reject(const PlaceRequest &request)
{
    const auto delay = m_retries.next(givenBackPerSecond());
    m_decisions.push_back({request.id.process, {request.id.number, 0, delay}});
}

std::size_t PlaceLender::totalLimit() const
{
    std::size_t total = 0;
    for (const auto &[id, state] : m_upstreams)
        total += state.limit;
    return total;
}

// Places that become free per second. In the first second each is expected to do so once.
double PlaceLender::givenBackPerSecond() const
{
    const bool isMeasured = m_activeSince && m_clock.now() - *m_activeSince >= kRateWindow;
    const std::size_t n = isMeasured ? m_givenBack.size() : totalLimit();
    return static_cast<double>(std::max<std::size_t>(n, 1));
}

void PlaceLender::request(const PlaceRequest &request)
{
    recordActivity();
    if (m_clock.now() >= m_nextTick)
        tick();
    if (m_places.contains(request.id) || tryLend(request))
        return;
    const std::chrono::duration<double> expectedWait(static_cast<double>(m_waiting.size() + 1)
                                                     / givenBackPerSecond());
    if (request.patience < expectedWait || m_waiting.size() >= m_limits.maxWaiting) {
        reject(request);
        return;
    }
    m_waiting.push_back({request, m_clock.now() + request.patience});
}

void PlaceLender::serveWaiting()
{
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const bool isOver = m_clock.now() >= it->until;
        if (!isOver && !tryLend(it->request)) {
            ++it;
            continue;
        }
        if (isOver)
            reject(it->request);
        it = m_waiting.erase(it);
    }
}

void PlaceLender::removePlace(std::map<PlacementId, Place>::iterator place)
{
    const auto upstream = m_upstreams.find(place->second.upstream);
    if (upstream != m_upstreams.end() && upstream->second.lent > 0)
        upstream->second.lent -= 1;
    m_places.erase(place);
}

void PlaceLender::giveBack(const PlacementId &id, bool wasRejected)
{
    recordActivity();
    std::erase_if(m_waiting, [&](const Waiting &it) { return it.request.id == id; });
    const auto place = m_places.find(id);
    if (place == m_places.end())
        return;
    const std::uint64_t upstream = place->second.upstream;
    removePlace(place);
    if (wasRejected)
        recordRejection(upstream);
    else
        m_givenBack.push_back(m_clock.now());
    serveWaiting();
}

void PlaceLender::recordRejection(std::uint64_t upstream)
{
    const auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end())
        return;
    UpstreamState &state = it->second;
    state.limit = std::clamp<std::size_t>(openAt(upstream, state), 1, state.limit);
    state.limitChangedAt = m_clock.now();
    state.closedUntil = m_clock.now() + m_limits.rejectionPause;
}

void PlaceLender::apply(const PlaceReport &report)
{
    recordActivity();
    const TimePoint now = m_clock.now();
    ProcessState &process = m_processes[report.process];
    process.reportedAt = now;
    setOthers(process, report.others);
    for (auto it = m_places.lower_bound({report.process, 0});
         it != m_places.end() && it->first.process == report.process;) {
        const auto place = it++;
        const bool isHeld
            = std::find(report.numbers.begin(), report.numbers.end(), place->first.number)
              != report.numbers.end();
        if (!isHeld && now - place->second.lentAt >= m_limits.reportDelay)
            removePlace(place);
    }
    serveWaiting();
}

void PlaceLender::tick()
{
    const TimePoint now = m_clock.now();
    checkForStall();
    m_nextTick = now + kTickInterval;
    for (auto it = m_places.begin(); it != m_places.end();) {
        const auto place = it++;
        if (now >= place->second.expiresAt)
            removePlace(place);
    }
    for (auto it = m_processes.begin(); it != m_processes.end();) {
        const auto process = it++;
        if (now - process->second.reportedAt < m_limits.reportLifetime)
            continue;
        setOthers(process->second, {});
        m_processes.erase(process);
    }
    while (!m_givenBack.empty() && now - m_givenBack.front() >= kRateWindow)
        m_givenBack.pop_front();
    for (auto &[id, state] : m_upstreams) {
        if (state.limit < usableSlots(state.slots)
            && now - state.limitChangedAt >= m_limits.raiseInterval) {
            state.limit += 1;
            state.limitChangedAt = now;
        }
    }
    serveWaiting();
}

std::vector<PlaceLender::Decision> PlaceLender::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

} // namespace fordwood
