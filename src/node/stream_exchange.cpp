// SPDX-License-Identifier: MIT
#include "node/stream_exchange.hpp"

#include <algorithm>

#include "fordwood/rendezvous.hpp"
#include "node/call_log.hpp"

namespace fordwood::node {

namespace {

// Streams are told to peers in batches of this time. What begins later than that before the node is
// lost stays unknown, so it is short compared with the life of a stream.
constexpr Duration kNoticeInterval = std::chrono::milliseconds(10);

// Keeps a message far below the size of a datagram.
constexpr std::size_t kMaxStreamsPerNotice = 1'000;

// Callers may send any number of requests that name a stream.
constexpr std::size_t kMaxSearches = 4'096;

std::uint64_t hashOf(const udp::endpoint &peer)
{
    return stableHash(peer.address().to_string(), peer.port());
}

void logFinding(const StreamQuery &query, const OriginSearch &decision, Duration elapsed)
{
    const OriginKnowledge &knowledge = decision.knowledge();
    const auto origin = decision.result();
    OriginFinding finding;
    finding.stream = query.key;
    finding.service = query.service;
    finding.knownBy = knowledge.origin ? "record" : origin ? "only-version" : "nothing";
    finding.began = origin ? origin->version : "";
    finding.versions = knowledge.versions.size();
    finding.isComplete = knowledge.isComplete;
    finding.replies = decision.replies();
    finding.elapsed = elapsed;
    logOriginFinding(finding);
}

} // namespace

StreamExchange::StreamExchange(net::io_context &context, const Clock &clock,
                               adapters::Metrics &metrics, ServedVersions &versions,
                               ReadBarrier &barrier, Send send)
    : m_context(context), m_clock(clock), m_metrics(metrics), m_versions(versions),
      m_barrier(barrier), m_send(std::move(send)), m_origins(clock), m_noticeTimer(context)
{ }

void StreamExchange::setNodes(std::vector<SchedulerNode> nodes, const std::string &own)
{
    m_own = own;
    if (own.empty())
        nodes.clear();
    m_metrics.setGauge(
        "fordwood_stream_peers",
        static_cast<double>(std::count_if(nodes.begin(), nodes.end(), [&](const SchedulerNode &it) {
            return it.address != own;
        })));
    m_holders.setNodes(std::move(nodes));
}

std::vector<udp::endpoint> StreamExchange::holdersOf(StreamKey key) const
{
    std::vector<udp::endpoint> found;
    for (const SchedulerNode *it : m_holders.holdersOf(key)) {
        const auto endpoint = parseEndpoint<udp>(it->address);
        if (it->address != m_own && endpoint)
            found.push_back(*endpoint);
    }
    return found;
}

// A process that has not followed the service for long may not know of a version that has left.
bool StreamExchange::mustTellPeers(const std::string &service) const
{
    return !m_versions.isComplete() || m_versions.hasSeveral(service);
}

void StreamExchange::record(const KnownStream &stream)
{
    if (!m_origins.record(stream))
        return;
    if (mustTellPeers(stream.origin.service))
        tellHolders(stream);
    else
        m_untold.insert(stream.key);
}

void StreamExchange::tellHolders(const KnownStream &stream)
{
    for (const udp::endpoint &it : holdersOf(stream.key))
        m_notices[it][{stream.origin.service, stream.origin.version}].push_back(stream);
    if (m_notices.empty() || m_areNoticesDue)
        return;
    m_areNoticesDue = true;
    m_noticeTimer.start(kNoticeInterval, [this] { sendNotices(); });
}

void StreamExchange::sendNotices()
{
    m_areNoticesDue = false;
    for (const auto &[peer, notices] : std::exchange(m_notices, {})) {
        for (const auto &[origin, streams] : notices)
            sendNotice({origin.first, origin.second}, streams, peer);
    }
}

void StreamExchange::sendNotice(const StreamOrigin &origin, const std::vector<KnownStream> &streams,
                                const udp::endpoint &to)
{
    StreamNotice notice{origin, {}};
    for (std::size_t n = 0; n < streams.size(); ++n) {
        const Duration lifetime = std::max(streams[n].expiresAt - m_clock.now(), Duration::zero());
        notice.streams.push_back(
            {streams[n].key, std::chrono::duration_cast<std::chrono::milliseconds>(lifetime)});
        if (notice.streams.size() < kMaxStreamsPerNotice && n + 1 < streams.size())
            continue;
        m_send(encodeStreamMessage(notice), to);
        m_metrics.count("fordwood_stream_notices_sent_total");
        notice.streams.clear();
    }
}

void StreamExchange::onVersionsChanged(const std::string &service)
{
    if (!m_versions.hasSeveral(service)) {
        m_mixedServices.erase(service);
        return;
    }
    // Streams that began while there was one version have not been told to peers.
    if (!m_mixedServices.insert(service).second)
        return;
    for (const KnownStream &it : m_origins.of(service))
        tellHolders(it);
}

// Streams that began while this node knew all versions have not been told to peers.
void StreamExchange::tellUntold()
{
    for (const StreamKey key : std::exchange(m_untold, {})) {
        if (const auto stream = m_origins.stream(key))
            tellHolders(*stream);
    }
}

OriginKnowledge StreamExchange::knowledgeOf(StreamKey key, const std::string &service,
                                            bool isCurrent) const
{
    return {m_origins.find(key), m_versions.recent(service), isCurrent && m_versions.isComplete()};
}

// The record of an upstream is in the platform's store before any stream begins there. So this node
// knows the version of the stream's origin once it has all that the store had when the stream was
// taken up.
void StreamExchange::find(StreamKey key, const std::string &service, OnFound onFound)
{
    if (m_origins.find(key)) {
        findAtPeers(key, service, std::move(onFound));
        return;
    }
    m_barrier.wait([this, key, service, now = m_clock.now(), onFound = std::move(onFound)](
                       bool isCurrent) { search(key, service, isCurrent, now, onFound); });
}

void StreamExchange::findAtPeers(StreamKey key, const std::string &service, OnFound onFound)
{
    search(key, service, false, m_clock.now(), std::move(onFound));
}

void StreamExchange::search(StreamKey key, const std::string &service, bool isCurrent,
                            TimePoint startedAt, OnFound onFound)
{
    const OriginKnowledge own = knowledgeOf(key, service, isCurrent);
    std::vector<udp::endpoint> peers = holdersOf(key);
    OriginSearch decision(service, own, peers.size());
    const StreamQuery query{++m_lastNumber, key, service, !own.isComplete};
    if (decision.isDone() || m_searches.size() >= kMaxSearches) {
        logFinding(query, decision, m_clock.now() - startedAt);
        onFound(decision.result());
        return;
    }
    const std::uint64_t number = query.number;
    m_searches.emplace(number,
                       Search{query, startedAt, std::move(decision), std::move(peers),
                              std::move(onFound), std::make_unique<TimeoutTimer>(m_context)});
    m_metrics.count("fordwood_stream_searches_total");
    startRound(number);
}

void StreamExchange::startRound(std::uint64_t number)
{
    const auto it = m_searches.find(number);
    if (it == m_searches.end())
        return;
    Search &search = it->second;
    const Duration time = search.decision.beginRound();
    if (time == Duration::zero()) {
        finish(it);
        return;
    }
    for (const udp::endpoint &peer : search.peers)
        m_send(encodeStreamMessage(search.query), peer);
    search.timer->start(time, [this, number] { startRound(number); });
}

void StreamExchange::finish(Searches::iterator search)
{
    const Search ended = std::move(search->second);
    m_searches.erase(search);
    logFinding(ended.query, ended.decision, m_clock.now() - ended.startedAt);
    ended.onFound(ended.decision.result());
}

bool StreamExchange::onDatagram(std::string_view bytes, const udp::endpoint &from)
{
    const auto message = decodeStreamMessage(bytes);
    if (!message)
        return false;
    std::visit([&](const auto &it) { handle(it, from); }, *message);
    return true;
}

void StreamExchange::handle(const StreamNotice &notice, const udp::endpoint & /*from*/)
{
    m_versions.observe(notice.origin.service, notice.origin.version);
    for (const StreamNotice::Stream &it : notice.streams)
        m_origins.record({it.key, notice.origin, m_clock.now() + it.lifetime});
    onVersionsChanged(notice.origin.service);
}

void StreamExchange::handle(const StreamQuery &query, const udp::endpoint &from)
{
    // A warning must not wait.
    if (!query.needsComplete || m_origins.find(query.key) || m_versions.hasSeveral(query.service)) {
        reply(query, false, from);
        return;
    }
    m_barrier.wait([this, query, from](bool isCurrent) { reply(query, isCurrent, from); });
}

void StreamExchange::reply(const StreamQuery &query, bool isCurrent, const udp::endpoint &to)
{
    const OriginKnowledge knowledge = knowledgeOf(query.key, query.service, isCurrent);
    m_send(encodeStreamMessage(StreamReply{query.number, knowledge}), to);
}

void StreamExchange::handle(const StreamReply &reply, const udp::endpoint &from)
{
    const auto it = m_searches.find(reply.number);
    if (it == m_searches.end())
        return;
    const std::vector<udp::endpoint> &peers = it->second.peers;
    if (std::find(peers.begin(), peers.end(), from) == peers.end())
        return;
    it->second.decision.addReply(hashOf(from), reply.knowledge);
    if (it->second.decision.isDone())
        finish(it);
}

void StreamExchange::tick()
{
    m_origins.tick();
    std::erase_if(m_untold, [this](StreamKey it) { return !m_origins.find(it); });
    if (!m_versions.isComplete())
        tellUntold();
    std::erase_if(m_mixedServices,
                  [this](const std::string &it) { return !m_versions.hasSeveral(it); });
    m_metrics.setGauge("fordwood_stream_origins", static_cast<double>(m_origins.size()));
    m_metrics.setGauge("fordwood_services_of_several_versions",
                       static_cast<double>(m_mixedServices.size()));
}

} // namespace fordwood::node
