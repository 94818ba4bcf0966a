// SPDX-License-Identifier: MIT
#include "standins/blocking_server.hpp"

#include <microhttpd.h>

#include <algorithm>
#include <csignal>

#include "adapters/http/socket_address.hpp"

namespace fordwood::standins {

namespace {

constexpr std::size_t kPartBlock = 65'536;

struct Arriving
{
    Request request;
};

struct Parts
{
    Answer answer;
    std::string waiting;
    bool ended = false;
};

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    return text;
}

MHD_Result addHeader(void *cls, MHD_ValueKind, const char *name, const char *value)
{
    static_cast<Request *>(cls)->headers[lower(name)] = value == nullptr ? "" : value;
    return MHD_YES;
}

ssize_t readPart(void *cls, std::uint64_t, char *target, std::size_t size)
{
    auto *parts = static_cast<Parts *>(cls);
    if (parts->waiting.empty() && !parts->ended) {
        parts->waiting = parts->answer.nextPart(false);
        parts->ended = parts->waiting.empty();
    }
    if (parts->waiting.empty())
        return parts->answer.cutAfterParts ? MHD_CONTENT_READER_END_WITH_ERROR
                                           : MHD_CONTENT_READER_END_OF_STREAM;
    const std::size_t n = std::min(size, parts->waiting.size());
    std::copy_n(parts->waiting.begin(), n, target);
    parts->waiting.erase(0, n);
    return static_cast<ssize_t>(n);
}

void freeParts(void *cls)
{
    const std::unique_ptr<Parts> parts(static_cast<Parts *>(cls));
    if (!parts->ended)
        parts->answer.nextPart(true);
}

void *onUri(void *, const char *uri, MHD_Connection *)
{
    auto *arriving = new Arriving;
    const std::string text = uri;
    const std::size_t mark = text.find('?');
    arriving->request.path = text.substr(0, mark);
    arriving->request.query = mark == std::string::npos ? "" : text.substr(mark + 1);
    return arriving;
}

MHD_Result reply(MHD_Connection *connection, Answer answer)
{
    if (answer.cutConnection)
        return MHD_NO;
    MHD_Response *response = nullptr;
    const int status = answer.status;
    const std::string type = answer.contentType;
    const auto headers = answer.headers;
    if (answer.nextPart) {
        response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, kPartBlock, &readPart,
                                                     new Parts{std::move(answer), "", false},
                                                     &freeParts);
    } else {
        response = MHD_create_response_from_buffer(
            answer.body.size(), const_cast<char *>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
    }
    MHD_add_response_header(response, "Content-Type", type.c_str());
    for (const auto &[name, value] : headers)
        MHD_add_response_header(response, name.c_str(), value.c_str());
    const MHD_Result result
        = MHD_queue_response(connection, static_cast<unsigned>(status), response);
    MHD_destroy_response(response);
    return result;
}

MHD_Result onRequest(void *cls, MHD_Connection *connection, const char *, const char *method,
                     const char *, const char *data, std::size_t *size, void **state)
{
    auto *arriving = static_cast<Arriving *>(*state);
    if (arriving->request.method.empty()) {
        arriving->request.method = method;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &addHeader, &arriving->request);
        return MHD_YES;
    }
    if (*size > 0) {
        arriving->request.body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    return reply(connection, static_cast<BlockingServer *>(cls)->handler()(arriving->request));
}

void onCompleted(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode)
{
    delete static_cast<Arriving *>(*state);
    *state = nullptr;
}

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

std::string Request::header(const std::string &name) const
{
    const auto it = headers.find(lower(name));
    return it == headers.end() ? "" : it->second;
}

BlockingServer::BlockingServer(const std::string &address, Handler handler)
    : m_handler(std::move(handler))
{
    const auto socketAddress = adapters::parseSocketAddress(address);
    if (!socketAddress)
        return;
    m_daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, 0, nullptr,
        nullptr, &onRequest, this, MHD_OPTION_SOCK_ADDR, socketAddress->get(),
        MHD_OPTION_CONNECTION_LIMIT, 8192U, MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U,
        MHD_OPTION_THREAD_STACK_SIZE, std::size_t{131'072}, MHD_OPTION_URI_LOG_CALLBACK, &onUri,
        nullptr, MHD_OPTION_NOTIFY_COMPLETED, &onCompleted, nullptr, MHD_OPTION_END);
}

BlockingServer::~BlockingServer()
{
    if (m_daemon != nullptr)
        MHD_stop_daemon(m_daemon);
}

void blockSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForSignal()
{
    const sigset_t signals = stopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace fordwood::standins
