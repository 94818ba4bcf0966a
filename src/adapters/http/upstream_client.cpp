// SPDX-License-Identifier: MIT
#include "adapters/http/upstream_client.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <limits>
#include <tuple>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "adapters/http/answer_head.hpp"
#include "adapters/observe/event_log.hpp"

namespace fordwood::adapters {

namespace http = boost::beast::http;

namespace {

constexpr int kMaxWaitMs = 1000;
constexpr int kMaxEventsPerWait = 64;
constexpr long kConnectTimeoutMs = 1000;
constexpr long kIdleConnections = 1024;
constexpr std::string_view kStreamEndEvent = "data: [DONE]";
constexpr std::string_view kDataField = "data:";
constexpr std::array<std::string_view, 2> kEventEnds{"\n\n", "\r\n\r\n"};
constexpr std::size_t kMaxEventBytes = 1 << 20;
constexpr long kOk = 200;
constexpr long kFirstOtherStatus = 300;
constexpr long kFirstErrorStatus = 400;
constexpr long kUnavailable = 503;
constexpr std::size_t kTailBytes = 64;

// Heads of answers, with those of interim ones, are small; longer ones do not come from an
// upstream. libcurl has a limit of its own, which depends on its version, and fields take several
// times their size in memory.
constexpr std::size_t kMaxHeadBytes = 32'768;

// A body that no caller gets is read only so that its connection can be used again.
constexpr std::size_t kMaxSkippedBytes = 65'536;

constexpr std::size_t kMaxStoredBytes = 16'384;

constexpr std::string_view kCostField = "x-used-tokens";

std::string toLower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    return result;
}

bool isHopByHop(const std::string &name)
{
    static constexpr std::array kNames{
        "connection", "keep-alive",         "transfer-encoding", "te", "trailer", "upgrade",
        "date",       "proxy-authenticate", "content-length"};
    return std::find(kNames.begin(), kNames.end(), name) != kNames.end();
}

// Whether the line is a status line without a reason that lacks the blank before it as well, as
// some servers send it. The parser wants the blank.
bool isStatusAlone(std::string_view line)
{
    return line.starts_with("HTTP/") && std::count(line.begin(), line.end(), ' ') == 1;
}

bool isGatewayError(long status)
{
    return status == 502 || status == 503 || status == 504;
}

} // namespace

// An attempt in progress: a libcurl transfer and what was learned from its answer so far.
class UpstreamClient::Transfer
{
public:
    Transfer(UpstreamClient &client, UpstreamAttempt attempt)
        : m_client(client), m_attempt(std::move(attempt)), m_easy(curl_easy_init())
    { }
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;
    ~Transfer()
    {
        curl_easy_cleanup(m_easy);
        curl_slist_free_all(m_headerList);
    }

    CURL *easy() const { return m_easy; }
    Key key() const { return {m_attempt.send.call, m_attempt.send.attempt}; }

    void prepare()
    {
        const UpstreamRequest &request = m_attempt.exchange->request();
        const std::string url = "http://" + m_attempt.send.address + request.path;
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_attempt.send.deadline - m_client.m_clock.now());
        curl_easy_setopt(m_easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(m_easy, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
        curl_easy_setopt(m_easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(m_easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
        curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, std::max<long>(1, remaining.count()));
        curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        if (request.method != "GET" || !request.body.empty()) {
            curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, request.body.data());
            curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(request.body.size()));
        }
        if (!m_attempt.send.repeatable) {
            // On a reused connection that turns out to be dead, libcurl would resend the request on
            // its own, even if the upstream has already read it.
            curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, 1L);
        }
        addHeaders(request);
        curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &Transfer::onHeader);
        curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
        curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &Transfer::onBody);
        curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
        curl_easy_setopt(m_easy, CURLOPT_PRIVATE, this);
    }

    void resume()
    {
        if (std::exchange(m_isPaused, false))
            curl_easy_pause(m_easy, CURLPAUSE_CONT);
    }

    // Reports the result of the transfer to the listener.
    void report(CURLcode ec)
    {
        const auto [call, attempt] = key();
        Exchange &exchange = *m_attempt.exchange;
        if (ec == CURLE_OK && !m_failure && isAnswerWhole() && beginAnswer() && isStreamComplete()
            && forwardRest()) {
            exchange.finish(attempt);
            return m_client.m_listener.attemptFinished(call, attempt, m_cost, storedAnswer());
        }
        AttemptFailure failure = m_failure ? *m_failure : failureOf(ec);
        failure.answerBegun = !exchange.discard(attempt);
        const auto resumed = m_attempt.send.resumeFrom;
        if (failure.answerBegun && m_forwardsWholeEvents && (m_head.isStream || resumed))
            failure.passedEvents = resumed.value_or(0) + m_forwardedEvents;
        m_client.m_listener.attemptFailed(call, attempt, failure);
    }

    void reportExpired()
    {
        const auto [call, attempt] = key();
        m_client.m_listener.attemptFailed(call, attempt,
                                          {RunState::NotRun, Reason::PermitExpired, "", false});
    }

private:
    void addHeaders(const UpstreamRequest &request)
    {
        const auto add = [&](const std::string &name, const std::string &value) {
            m_headerList = curl_slist_append(m_headerList, (name + ": " + value).c_str());
        };
        for (const auto &[name, value] : request.headers)
            add(name, value);
        add("X-Priority", std::to_string(m_attempt.send.priority));
        if (m_attempt.send.resumeFrom)
            add("X-Resume-From", std::to_string(*m_attempt.send.resumeFrom));
        add("Expect", "");
        m_headerList = curl_slist_append(m_headerList, "Accept:");
        curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headerList);
    }

    static std::size_t onHeader(char *data, std::size_t size, std::size_t n, void *self)
    {
        constexpr std::size_t kAbort = 0;
        auto *transfer = static_cast<Transfer *>(self);
        transfer->m_headBytes += size * n;
        if (transfer->m_headBytes > kMaxHeadBytes) {
            transfer->m_failure = AttemptFailure{
                RunState::MayHaveRun,
                transfer->m_isAnswerBegun ? Reason::AnswerCut : Reason::UpstreamBroke,
                "The head or the trailers of the answer are too long.", false};
            return kAbort;
        }
        return transfer->addHeadLine({data, size * n}) ? size * n : kAbort;
    }

    // Collects the lines of a head until it is whole. libcurl passes on what it does not
    // understand, which other readers on the way may read in another way, so the head is parsed
    // anew. Returns false if it is not valid. The lines of trailers follow the head of the answer.
    bool addHeadLine(std::string_view line)
    {
        if (m_isHeadWhole) {
            readTrailer(line);
            return true;
        }
        for (const char it : {'\n', '\r'}) {
            if (line.ends_with(it))
                line.remove_suffix(1);
        }
        m_headText.append(line);
        if (isStatusAlone(line))
            m_headText += ' ';
        m_headText.append("\r\n"); // libcurl accepts lines that end with LF alone
        return !line.empty() || parseHead();
    }

    bool parseHead()
    {
        http::response_parser<http::empty_body> parser;
        parser.header_limit(std::numeric_limits<std::uint32_t>::max());
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        parser.skip(m_attempt.exchange->request().method == "HEAD");
        boost::system::error_code ec;
        parser.put(boost::asio::buffer(m_headText), ec);
        if (!ec)
            ec = checkAnswerHead(m_headText, parser.get(), !parser.is_done());
        if (ec) {
            failHead(ec.message());
            return false;
        }
        readFields(parser.get());
        m_isFramed = !parser.need_eof();
        m_isHeadWhole
            = http::to_status_class(parser.get().result()) != http::status_class::informational;
        m_headText.clear();
        return true;
    }

    void failHead(const std::string &cause)
    {
        logEvent(Event::AttemptFailed, {{"call", m_attempt.send.call},
                                        {"upstream", m_attempt.send.address},
                                        {"cause", cause}});
        m_failure = AttemptFailure{RunState::MayHaveRun, Reason::UpstreamBroke,
                                   "The head of the answer is not valid: " + cause + ".", false};
    }

    // Replaces what an interim head contained.
    void readFields(const http::response_header<> &head)
    {
        m_head = AnswerHead{};
        m_cost = 0.0;
        m_isNotRun = false;
        m_isVersionMismatch = false;
        m_limit = ParsedLimit{};
        m_isDraining = false;
        m_backoff = ParsedBackoff{};
        for (const auto &it : head)
            readField(std::string(it.name_string()), std::string(it.value()));
    }

    void readField(const std::string &nameText, const std::string &value)
    {
        const std::string name = toLower(nameText);
        if (name == "x-request-not-run")
            m_isNotRun = value == "true";
        else if (name == "x-version-mismatch")
            m_isVersionMismatch = value == "true";
        else if (name == "x-requests-per-second")
            addLimitField(value, m_limit);
        else if (name == "x-draining")
            m_isDraining = value == "true";
        else if (name == "retry-after")
            addBackoffField(value, m_backoff);
        else if (name == kCostField)
            m_cost = std::strtod(value.c_str(), nullptr);
        else if (name.rfind("fordwood-", 0) != 0 && !isHopByHop(name))
            m_head.headers.emplace_back(nameText, value);
        if (name == "content-type")
            m_head.isStream = toLower(value).rfind("text/event-stream", 0) == 0;
    }

    // An upstream may know the cost of an answer only at its end. No other field of a trailer
    // counts.
    void readTrailer(std::string_view line)
    {
        const std::size_t colon = std::min(line.find(':'), line.size());
        if (toLower(line.substr(0, colon)) == kCostField && colon < line.size())
            m_cost = std::strtod(std::string(line.substr(colon + 1)).c_str(), nullptr);
    }

    static std::size_t onBody(char *data, std::size_t size, std::size_t n, void *self)
    {
        return static_cast<Transfer *>(self)->handleBody(std::string_view(data, size * n));
    }

    std::size_t handleBody(std::string_view bytes)
    {
        constexpr std::size_t kAbort = 0;
        m_hasBody = m_hasBody || !bytes.empty();
        if (!beginAnswer()) {
            m_skippedBytes += bytes.size();
            const bool isWanted = m_failure && m_failure->reason != Reason::CallerLeft;
            return isWanted && m_skippedBytes <= kMaxSkippedBytes ? bytes.size() : kAbort;
        }
        // Of a stream only complete events are forwarded, so that another engine can continue it.
        const std::string joined
            = m_partialEvent.empty() ? "" : m_partialEvent + std::string(bytes);
        const std::string_view unforwarded = joined.empty() ? bytes : std::string_view(joined);
        m_forwardsWholeEvents = m_forwardsWholeEvents && unforwarded.size() <= kMaxEventBytes;
        const bool byEvents = m_head.isStream && m_forwardsWholeEvents;
        const std::string_view complete
            = byEvents ? unforwarded.substr(0, endOfEvents(unforwarded)) : unforwarded;
        switch (forward(complete)) {
        case Exchange::AppendResult::Accepted:
            m_partialEvent = std::string(unforwarded.substr(complete.size()));
            return bytes.size();
        case Exchange::AppendResult::Full:
            m_isPaused = true;
            return CURL_WRITEFUNC_PAUSE;
        case Exchange::AppendResult::Closed:
            break;
        }
        return kAbort;
    }

    static std::size_t endOfEvents(std::string_view bytes)
    {
        std::size_t end = 0;
        for (const std::string_view it : kEventEnds) {
            const std::size_t last = bytes.rfind(it);
            if (last != std::string_view::npos)
                end = std::max(end, last + it.size());
        }
        return end;
    }

    Exchange::AppendResult forward(std::string_view bytes)
    {
        auto result = bytes.empty() || m_isDetached
                          ? Exchange::AppendResult::Accepted
                          : m_attempt.exchange->append(key().second, bytes);
        if (result == Exchange::AppendResult::Closed && m_attempt.send.keepAnswer) {
            m_isDetached = true;
            result = Exchange::AppendResult::Accepted;
        }
        if (result != Exchange::AppendResult::Accepted)
            return result;
        if (m_head.isStream)
            countEvents(bytes);
        appendTail(bytes);
        if (m_attempt.send.keepAnswer && m_storedBody.size() <= kMaxStoredBytes)
            m_storedBody.append(bytes);
        return result;
    }

    void countEvents(std::string_view events)
    {
        while (!events.empty()) {
            const bool isContent
                = events.rfind(kDataField, 0) == 0 && events.rfind(kStreamEndEvent, 0) != 0;
            m_forwardedEvents += isContent ? 1 : 0;
            events.remove_prefix(endOfFirst(events));
        }
    }

    static std::size_t endOfFirst(std::string_view events)
    {
        std::size_t end = events.size();
        for (const std::string_view it : kEventEnds) {
            const std::size_t first = events.find(it);
            if (first != std::string_view::npos)
                end = std::min(end, first + it.size());
        }
        return end;
    }

    // At the end of a complete answer, forwards the bytes after the last complete event. Those of a
    // stream that broke off are dropped, as another engine sends the event anew.
    bool forwardRest()
    {
        return m_partialEvent.empty()
               || forward(m_partialEvent) == Exchange::AppendResult::Accepted;
    }

    // Returns the answer if it is to be stored and short enough; otherwise an empty one.
    StoredAnswer storedAnswer() const
    {
        if (!m_attempt.send.keepAnswer || m_storedBody.size() > kMaxStoredBytes)
            return {};
        StoredAnswer answer{m_head.status, "", m_storedBody};
        for (const auto &[name, value] : m_head.headers) {
            if (toLower(name) == "content-type")
                answer.contentType = value;
        }
        return answer;
    }

    void appendTail(std::string_view bytes)
    {
        m_tail.append(bytes.substr(bytes.size() - std::min(bytes.size(), kTailBytes)));
        if (m_tail.size() > kTailBytes)
            m_tail.erase(0, m_tail.size() - kTailBytes);
    }

    // Decides, once the head is complete, whether to forward the answer.
    bool beginAnswer()
    {
        if (m_isAnswerBegun || m_failure)
            return m_isAnswerBegun;
        long status = 0;
        curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
        m_head.status = static_cast<int>(status);
        reportLimit(status);
        reportNotice(status);
        const std::string detail = "The upstream answered " + std::to_string(status) + ".";
        if (m_isNotRun && status >= 400) {
            const Reason reason
                = m_isVersionMismatch ? Reason::VersionMismatch : Reason::UpstreamPushback;
            m_failure = AttemptFailure{RunState::NotRun, reason, detail, false};
        } else if (isGatewayError(status)) {
            m_failure = AttemptFailure{RunState::MayHaveRun, Reason::UpstreamBroke, detail, false};
        } else if (m_attempt.send.resumeFrom) {
            m_isAnswerBegun = status == kOk && m_head.isStream
                              && m_attempt.exchange->continueAnswer(key().second);
            if (!m_isAnswerBegun)
                m_failure
                    = AttemptFailure{RunState::MayHaveRun, Reason::AnswerCut, detail, false, {}};
        } else if (m_attempt.exchange->begin(key().second, m_head)) {
            m_isAnswerBegun = true;
        } else if (m_attempt.send.keepAnswer) {
            m_isAnswerBegun = true;
            m_isDetached = true;
        } else {
            m_failure = AttemptFailure{RunState::MayHaveRun, Reason::CallerLeft, "", false};
        }
        return m_isAnswerBegun;
    }

    // As long as no answer has named a limit, none can be lifted, so answers without one need not
    // be reported to the dispatch thread.
    void reportLimit(long status)
    {
        const bool isNamed = m_limit.perSecond || m_limit.isUnreadable;
        m_client.m_hasReadLimit = m_client.m_hasReadLimit || isNamed;
        // An error answer without a limit may come from an intermediary; it does not lift a limit.
        if (m_client.m_hasReadLimit && (isNamed || status < kFirstErrorStatus))
            m_client.m_listener.limitRead(key().first, key().second, m_limit);
    }

    void reportNotice(long status)
    {
        UpstreamNotice notice;
        notice.isDraining = m_isDraining;
        if (status == kUnavailable && m_isNotRun)
            notice.backoff = m_backoff.length;
        if (notice.isDraining || notice.backoff)
            m_client.m_listener.noticeRead(key().first, key().second, notice);
    }

    // libcurl takes the end of a connection for the end of an answer, even within the head. It ends
    // a body that has no length and is not chunked, but a success without a body may be no more
    // than a head.
    bool isAnswerWhole() const
    {
        if (!m_isHeadWhole)
            return false;
        long status = 0;
        curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
        if (m_isFramed || status >= kFirstOtherStatus)
            return true;
        const bool isWhole = m_hasBody && isStreamComplete();
        logEvent(Event::AnswerUnframed, {{"call", m_attempt.send.call},
                                         {"upstream", m_attempt.send.address},
                                         {"status", status},
                                         {"taken_as", isWhole ? "whole" : "cut"}});
        return isWhole;
    }

    // An event stream is complete only if it ended with the closing event.
    bool isStreamComplete() const
    {
        return !m_head.isStream || m_head.status >= 400
               || (m_tail + m_partialEvent).find(kStreamEndEvent) != std::string::npos;
    }

    AttemptFailure failureOf(CURLcode ec) const
    {
        long sent = 0;
        curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &sent);
        const std::string detail = ec == CURLE_OK ? "The connection ended before the answer did."
                                                  : curl_easy_strerror(ec);
        if (ec == CURLE_OK)
            return {RunState::MayHaveRun, Reason::AnswerCut, detail, false};
        if (sent == 0)
            return {RunState::NotRun, Reason::ConnectFailed, detail, false};
        if (ec == CURLE_OPERATION_TIMEDOUT)
            return {RunState::MayHaveRun, Reason::UpstreamTimeout, detail, false};
        return {RunState::MayHaveRun, m_isAnswerBegun ? Reason::AnswerCut : Reason::UpstreamBroke,
                detail, false};
    }

    UpstreamClient &m_client;
    UpstreamAttempt m_attempt;
    CURL *m_easy;
    curl_slist *m_headerList = nullptr;
    AnswerHead m_head;
    std::size_t m_headBytes = 0; // of all heads and trailers that have arrived
    std::string m_headText; // of a head that is not whole
    std::size_t m_skippedBytes = 0; // of a body that no caller gets
    std::string m_storedBody;
    std::string m_tail; // the last bytes of the answer
    std::string m_partialEvent; // incomplete event of a stream, not forwarded yet
    std::uint64_t m_forwardedEvents = 0;
    bool m_forwardsWholeEvents = true; // so far, only complete events of the stream were forwarded
    std::optional<AttemptFailure> m_failure;
    double m_cost = 0.0;
    bool m_isNotRun = false;
    ParsedLimit m_limit;
    bool m_isDraining = false;
    ParsedBackoff m_backoff;
    bool m_isVersionMismatch = false;
    bool m_isHeadWhole = false; // that of the answer, up to its blank line
    bool m_isFramed = false; // the answer has a length, is chunked, or has no body by its nature
    bool m_hasBody = false;
    bool m_isAnswerBegun = false;
    bool m_isDetached = false; // the caller disconnected; the answer is read only to be stored
    bool m_isPaused = false;
};

UpstreamClient::UpstreamClient(const Clock &clock, UpstreamListener &listener, std::size_t ringSize)
    : m_clock(clock), m_listener(listener), m_sends(ringSize), m_cancels(ringSize),
      m_freedSpaces(ringSize), m_multi(curl_multi_init()), m_epoll(epoll_create1(EPOLL_CLOEXEC)),
      m_wakeup(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kIdleConnections);
    curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &UpstreamClient::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &UpstreamClient::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = m_wakeup;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeup, &event);
}

UpstreamClient::~UpstreamClient()
{
    while (!m_transfers.empty())
        removeTransfer(m_transfers.begin()->first);
    curl_multi_cleanup(m_multi);
    close(m_epoll);
    close(m_wakeup);
}

int UpstreamClient::onSocket(CURL *, curl_socket_t socket, int what, void *self, void *)
{
    static_cast<UpstreamClient *>(self)->watchSocket(socket, what);
    return 0;
}

int UpstreamClient::onTimer(CURLM *, long timeoutMs, void *self)
{
    auto *client = static_cast<UpstreamClient *>(self);
    client->m_timer.reset();
    if (timeoutMs >= 0)
        client->m_timer = client->m_clock.now() + std::chrono::milliseconds(timeoutMs);
    return 0;
}

void UpstreamClient::watchSocket(curl_socket_t socket, int what)
{
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, nullptr);
        return;
    }
    epoll_event event{};
    event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U)
                   | ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
    event.data.fd = socket;
    if (epoll_ctl(m_epoll, EPOLL_CTL_MOD, socket, &event) != 0)
        epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &event);
}

void UpstreamClient::handleEvents(int timeoutMs)
{
    std::array<epoll_event, kMaxEventsPerWait> events{};
    const int n = epoll_wait(m_epoll, events.data(), kMaxEventsPerWait, timeoutMs);
    int running = 0;
    for (int it = 0; it < n; ++it) {
        const epoll_event &event = events[static_cast<std::size_t>(it)];
        if (event.data.fd == m_wakeup) {
            std::uint64_t count = 0;
            std::ignore = read(m_wakeup, &count, sizeof count);
            continue;
        }
        const int mask = ((event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0)
                         | ((event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0)
                         | ((event.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
        curl_multi_socket_action(m_multi, event.data.fd, mask, &running);
    }
    if (m_timer && *m_timer <= m_clock.now()) {
        m_timer.reset();
        curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
}

int UpstreamClient::timeoutMs() const
{
    if (!m_timer)
        return kMaxWaitMs;
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(*m_timer - m_clock.now());
    return static_cast<int>(std::clamp<std::int64_t>(remaining.count(), 0, kMaxWaitMs));
}

void UpstreamClient::wake() const
{
    const std::uint64_t one = 1;
    std::ignore = write(m_wakeup, &one, sizeof one);
}

bool UpstreamClient::send(UpstreamAttempt attempt)
{
    const bool isQueued = m_sends.tryPush(std::move(attempt));
    wake();
    return isQueued;
}

bool UpstreamClient::cancel(const CancelAttempt &cancel)
{
    const bool isQueued = m_cancels.tryPush(cancel);
    wake();
    return isQueued;
}

void UpstreamClient::run()
{
    while (!m_stopping) {
        processCommands();
        handleEvents(timeoutMs());
        processResults();
    }
}

void UpstreamClient::stop()
{
    m_stopping = true;
    wake();
}

void UpstreamClient::processCommands()
{
    while (auto it = m_sends.tryPop())
        start(std::move(*it));
    while (const auto it = m_cancels.tryPop())
        removeTransfer({it->call, it->attempt});
    while (const auto it = m_freedSpaces.tryPop()) {
        const auto transfer = m_transfers.find({it->call, it->attempt});
        if (transfer != m_transfers.end())
            transfer->second->resume();
    }
}

void UpstreamClient::start(UpstreamAttempt attempt)
{
    const bool isLate = m_clock.now() > attempt.send.sendBy;
    const FreedSpace freedSpace{attempt.send.call, attempt.send.attempt};
    attempt.exchange->setOnSpace([this, freedSpace] {
        m_freedSpaces.tryPush(freedSpace);
        wake();
    });
    auto transfer = std::make_unique<Transfer>(*this, std::move(attempt));
    if (isLate)
        return transfer->reportExpired();
    transfer->prepare();
    curl_multi_add_handle(m_multi, transfer->easy());
    m_transfers.emplace(transfer->key(), std::move(transfer));
}

void UpstreamClient::removeTransfer(const Key &key)
{
    const auto it = m_transfers.find(key);
    if (it == m_transfers.end())
        return;
    curl_multi_remove_handle(m_multi, it->second->easy());
    m_transfers.erase(it);
}

void UpstreamClient::processResults()
{
    int remaining = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &remaining)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        const CURLcode ec = message->data.result;
        char *transferPointer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transferPointer);
        auto *transfer = reinterpret_cast<Transfer *>(transferPointer);
        transfer->report(ec);
        removeTransfer(transfer->key());
    }
}

} // namespace fordwood::adapters
