// SPDX-License-Identifier: MIT
#include "adapters/http/caller_server.hpp"

#include <microhttpd.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

#include "adapters/http/mhd_response.hpp"
#include "adapters/http/socket_address.hpp"

namespace fordwood::adapters {

namespace {

constexpr auto kWatchPeriod = std::chrono::milliseconds(100);
constexpr unsigned kIdleTimeoutSeconds = 300;
constexpr unsigned kExtraConnections = 64;
constexpr std::size_t kReadBlockBytes = 16'384;
constexpr std::size_t kMaxDiscardFactor
    = 8; // larger bodies, in multiples of maxBodyBytes, are not read

int socketOf(MHD_Connection *connection)
{
    const auto *socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return socket == nullptr ? -1 : socket->connect_fd;
}

// A request while it is received and answered.
struct IncomingRequest
{
    IncomingRequest(IncomingBodies &bodies, int socket)
        : m_bodies(bodies), m_id(bodies.begin(socket))
    { }
    ~IncomingRequest() { dropCount(); }
    IncomingRequest(const IncomingRequest &) = delete;
    IncomingRequest &operator=(const IncomingRequest &) = delete;

    // Counts a body of this size, of which a part may be counted already. Returns false if this
    // request is to be given up for it.
    bool claim(std::size_t bytes)
    {
        if (bytes <= m_counted)
            return true;
        m_counted = bytes;
        return m_bodies.resize(m_id, bytes);
    }

    // Gives the body up. What follows of it is not kept.
    void refuse(Reason reason)
    {
        refusal = reason;
        request.body = {};
        dropCount();
    }

    // The body is whole, or given up.
    void dropCount() { m_bodies.end(m_id); }

    CallerRequest request;
    std::optional<Reason> refusal; // answered once the caller has sent all
    std::shared_ptr<Exchange> exchange;

private:
    IncomingBodies &m_bodies;
    const IncomingLimit::Id m_id;
    std::size_t m_counted = 0;
};

struct ChunkReader
{
    std::shared_ptr<Exchange> exchange;
    MHD_Connection *connection;
};

ssize_t readChunk(void *cls, std::uint64_t, char *target, std::size_t size)
{
    auto *reader = static_cast<ChunkReader *>(cls);
    std::size_t count = 0;
    switch (reader->exchange->read(target, size, count)) {
    case Exchange::ReadResult::Data:
        return static_cast<ssize_t>(count);
    case Exchange::ReadResult::Wait:
        MHD_suspend_connection(reader->connection);
        return 0;
    case Exchange::ReadResult::End:
        return MHD_CONTENT_READER_END_OF_STREAM;
    case Exchange::ReadResult::Aborted:
        break;
    }
    return MHD_CONTENT_READER_END_WITH_ERROR;
}

void freeChunkReader(void *cls)
{
    delete static_cast<ChunkReader *>(cls);
}

// The library closes a connection after an answer with this header.
const Headers::value_type kCloseHeader{"Connection", "close"};

MHD_Result queueChunks(MHD_Connection *connection, const std::shared_ptr<Exchange> &exchange,
                       const AnswerHead &head)
{
    auto *reader = new ChunkReader{exchange, connection};
    MHD_Response *response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, kReadBlockBytes, &readChunk, reader, &freeChunkReader);
    addHeaders(response, head.headers);
    MHD_add_response_header(response, "Fordwood-Verdict", "ran");
    const MHD_Result result
        = MHD_queue_response(connection, static_cast<unsigned>(head.status), response);
    MHD_destroy_response(response);
    return result;
}

MHD_Result queueDirect(MHD_Connection *connection, DirectAnswer answer, bool announcesClose)
{
    if (announcesClose)
        answer.headers.push_back(kCloseHeader);
    return queueAnswer(connection, answer);
}

MHD_Result queueAvailable(MHD_Connection *connection, const std::shared_ptr<Exchange> &exchange,
                          AvailableAnswer available, bool announcesClose)
{
    if (announcesClose)
        available.head.headers.push_back(kCloseHeader);
    switch (available.kind) {
    case AvailableAnswer::Kind::None:
        MHD_suspend_connection(connection);
        return MHD_YES;
    case AvailableAnswer::Kind::Refusal:
        return queueDirect(connection, answerOf(available.verdict), announcesClose);
    case AvailableAnswer::Kind::Complete:
        available.head.headers.emplace_back("Fordwood-Verdict", "ran");
        return queueAnswer(connection, {available.head.status, "", std::move(available.body),
                                        std::move(available.head.headers)});
    case AvailableAnswer::Kind::Chunked:
        return queueChunks(connection, exchange, available.head);
    }
    return MHD_NO;
}

MHD_Result addHeader(void *cls, MHD_ValueKind, const char *name, const char *value)
{
    static_cast<Headers *>(cls)->emplace_back(name, value == nullptr ? "" : value);
    return MHD_YES;
}

// A request with more than one length is ambiguous: a load balancer in front of this server may
// use another of them (request smuggling).
bool hasSeveralLengths(const Headers &headers)
{
    int lengths = 0;
    for (const auto &[name, value] : headers) {
        const bool isLength = strcasecmp(name.c_str(), "Content-Length") == 0;
        const bool isCoding = strcasecmp(name.c_str(), "Transfer-Encoding") == 0;
        lengths += isLength || isCoding ? 1 : 0;
    }
    return lengths > 1;
}

} // namespace

// The callbacks of the HTTP library.
struct CallerServerCallbacks
{
    static void *onUri(void *cls, const char *uri, MHD_Connection *connection)
    {
        // A request begins: the time limit for receiving it starts here.
        static_cast<CallerServer *>(cls)->m_watch.markIdle(connection);
        auto *incoming = new IncomingRequest(static_cast<CallerServer *>(cls)->m_incomingBodies,
                                             socketOf(connection));
        incoming->request.path = uri;
        return incoming;
    }

    static MHD_Result onRequest(void *cls, MHD_Connection *connection, const char *,
                                const char *method, const char *, const char *data,
                                std::size_t *size, void **state)
    {
        auto &server = *static_cast<CallerServer *>(cls);
        auto *incoming = static_cast<IncomingRequest *>(*state);
        if (incoming->request.method.empty())
            return beginRequest(server, connection, *incoming, method);
        if (*size > 0) {
            appendBody(server, *incoming, std::string_view(data, *size));
            *size = 0;
            return MHD_YES;
        }
        if (incoming->exchange)
            return queueAvailable(connection, incoming->exchange, incoming->exchange->takeAnswer(),
                                  server.m_announcesClose);
        if (incoming->refusal)
            return refuse(server, connection, *incoming->refusal);
        return handle(server, connection, *incoming);
    }

    static MHD_Result beginRequest(CallerServer &server, MHD_Connection *connection,
                                   IncomingRequest &incoming, const char *method)
    {
        incoming.request.method = method;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &addHeader,
                                  &incoming.request.headers);
        if (hasSeveralLengths(incoming.request.headers))
            return refuse(server, connection, Reason::MalformedRequest);
        const std::string length = incoming.request.header("Content-Length");
        const std::size_t bytes = std::strtoull(length.c_str(), nullptr, 10);
        if (bytes > server.m_settings.maxBodyBytes * kMaxDiscardFactor)
            return refuse(server, connection, Reason::BodyTooLarge);
        if (bytes <= server.m_settings.maxBodyBytes) {
            if (!incoming.claim(bytes))
                return refuse(server, connection, Reason::BuffersFull);
            incoming.request.body.reserve(bytes);
        }
        return MHD_YES;
    }

    static void appendBody(CallerServer &server, IncomingRequest &incoming, std::string_view bytes)
    {
        if (incoming.refusal)
            return;
        const std::size_t size = incoming.request.body.size() + bytes.size();
        if (size > server.m_settings.maxBodyBytes)
            incoming.refuse(Reason::BodyTooLarge);
        else if (!incoming.claim(size))
            incoming.refuse(Reason::BuffersFull);
        else
            incoming.request.body.append(bytes);
    }

    static MHD_Result refuse(CallerServer &server, MHD_Connection *connection, Reason reason)
    {
        server.m_handler.refused(reason);
        return queueDirect(connection, answerOf(Verdict::of(reason)), server.m_announcesClose);
    }

    static MHD_Result handle(CallerServer &server, MHD_Connection *connection,
                             IncomingRequest &incoming)
    {
        incoming.dropCount();
        auto handled = server.m_handler.handle(std::move(incoming.request));
        incoming.request.method = "-"; // not empty: the request was started
        if (const auto *answer = std::get_if<DirectAnswer>(&handled))
            return queueDirect(connection, *answer, server.m_announcesClose);
        incoming.exchange = std::get<std::shared_ptr<Exchange>>(handled);
        const CallId call = incoming.exchange->id();
        incoming.exchange->setWake([connection] { MHD_resume_connection(connection); });
        server.m_watch.markServing(connection, incoming.exchange,
                                   [&server, call] { server.m_handler.callerLeft(call); });
        incoming.exchange
            ->takeAnswer(); // none yet; from now on the exchange resumes the connection
        MHD_suspend_connection(connection);
        server.m_handler.submit(incoming.exchange);
        return MHD_YES;
    }

    static void onRequestCompleted(void *cls, MHD_Connection *connection, void **state,
                                   MHD_RequestTerminationCode code)
    {
        auto &server = *static_cast<CallerServer *>(cls);
        const std::unique_ptr<IncomingRequest> incoming(static_cast<IncomingRequest *>(*state));
        *state = nullptr;
        server.m_watch.markIdle(connection);
        if (!incoming || !incoming->exchange)
            return;
        incoming->exchange->abandon();
        if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
            server.m_handler.callerLeft(incoming->exchange->id());
        server.m_handler.exchangeEnded(incoming->exchange->id());
    }

    static void onConnection(void *cls, MHD_Connection *connection, void **,
                             MHD_ConnectionNotificationCode code)
    {
        auto &server = *static_cast<CallerServer *>(cls);
        if (code == MHD_CONNECTION_NOTIFY_CLOSED)
            return server.m_watch.removeConnection(connection);
        server.m_watch.addConnection(connection, socketOf(connection));
    }

    static MHD_Result onAccept(void *cls, const sockaddr *, socklen_t)
    {
        auto &server = *static_cast<CallerServer *>(cls);
        if (server.m_watch.connectionCount() < server.m_settings.maxConnections)
            return MHD_YES;
        server.m_handler.refused(Reason::ConnectionLimit);
        return MHD_NO;
    }

    static void onLog(void *cls, const char *, va_list)
    {
        // The library answers malformed requests itself and reports them only to its log.
        static_cast<CallerServer *>(cls)->m_handler.refused(Reason::MalformedRequest);
    }
};

CallerServer::CallerServer(const Clock &clock, const config::EntrySettings &settings,
                           CallerHandler &handler)
    : m_settings(settings), m_handler(handler),
      m_watch(clock, settings.readTimeout, [&handler] { handler.refused(Reason::ReadTimeout); }),
      m_incomingBodies(settings.maxIncomingBytes,
                       [&handler] { handler.refused(Reason::BuffersFull); })
{ }

CallerServer::~CallerServer()
{
    stop();
}

bool CallerServer::start()
{
    const auto address = parseSocketAddress(m_settings.listen);
    if (!address)
        return false;
    const unsigned flags = static_cast<unsigned>(MHD_USE_EPOLL_INTERNAL_THREAD)
                           | static_cast<unsigned>(MHD_ALLOW_SUSPEND_RESUME)
                           | static_cast<unsigned>(MHD_USE_ERROR_LOG)
                           | (address->isIpv6() ? static_cast<unsigned>(MHD_USE_IPv6) : 0U);
    using Self = CallerServerCallbacks;
    m_daemon = MHD_start_daemon(
        flags, 0, &Self::onAccept, this, &Self::onRequest, this, MHD_OPTION_EXTERNAL_LOGGER,
        &Self::onLog, this, MHD_OPTION_SOCK_ADDR, address->get(), MHD_OPTION_THREAD_POOL_SIZE,
        std::max(2U, m_settings.httpThreads), MHD_OPTION_CONNECTION_LIMIT,
        m_settings.maxConnections + kExtraConnections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        m_settings.maxHeaderBytes + kReadBlockBytes, MHD_OPTION_CONNECTION_TIMEOUT,
        kIdleTimeoutSeconds, MHD_OPTION_URI_LOG_CALLBACK, &Self::onUri, this,
        MHD_OPTION_NOTIFY_COMPLETED, &Self::onRequestCompleted, this, MHD_OPTION_NOTIFY_CONNECTION,
        &Self::onConnection, this, MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_END);
    if (m_daemon == nullptr)
        return false;
    m_watchThread = std::thread([this] {
        while (!m_stopping) {
            m_watch.check();
            std::this_thread::sleep_for(kWatchPeriod);
        }
    });
    return true;
}

void CallerServer::stopListening()
{
    if (m_daemon == nullptr)
        return;
    const MHD_socket listener = MHD_quiesce_daemon(m_daemon);
    if (listener == MHD_INVALID_SOCKET)
        return;
    // The kernel resets connections that still wait when the socket closes.
    sockaddr_storage peer{};
    socklen_t size = sizeof peer;
    for (;;) {
        auto *address = reinterpret_cast<sockaddr *>(&peer);
        const int socket = accept4(listener, address, &size, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (socket < 0)
            break;
        MHD_add_connection(m_daemon, socket, address, size);
        size = sizeof peer;
    }
    close(listener);
}

void CallerServer::stop()
{
    m_stopping = true;
    if (m_watchThread.joinable())
        m_watchThread.join();
    if (m_daemon != nullptr)
        MHD_stop_daemon(std::exchange(m_daemon, nullptr));
}

} // namespace fordwood::adapters
