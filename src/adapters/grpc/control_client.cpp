// SPDX-License-Identifier: MIT
#include "adapters/grpc/control_client.hpp"

#include <thread>

#include <grpcpp/create_channel.h>

namespace fordwood::adapters {

namespace {

constexpr int kMinReconnectBackoffMs = 50;
constexpr int kMaxReconnectBackoffMs = 500;
constexpr auto kReopenDelay = std::chrono::milliseconds(100);

} // namespace

ControlClient::ControlClient(const std::string &address, std::string node) : m_node(std::move(node))
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
    arguments.SetMaxReceiveMessageSize(-1);
    m_stub = wire::Control::NewStub(
        grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
}

void ControlClient::run(const std::function<void(const wire::Snapshot &)> &onSnapshot,
                        const std::function<void(const std::string &message)> &onLost)
{
    wire::SnapshotRequest request;
    request.set_node(m_node);
    while (!m_stopping) {
        grpc::ClientContext context;
        {
            const std::lock_guard lock(m_mutex);
            m_context = &context;
        }
        const auto reader = m_stub->WatchSnapshots(&context, request);
        wire::Snapshot snapshot;
        while (!m_stopping && reader->Read(&snapshot)) {
            onSnapshot(snapshot);
        }
        if (m_stopping)
            context.TryCancel();
        const grpc::Status status = reader->Finish();
        {
            const std::lock_guard lock(m_mutex);
            m_context = nullptr;
        }
        if (m_stopping)
            return;
        onLost(status.error_message());
        std::this_thread::sleep_for(kReopenDelay);
    }
}

void ControlClient::stop()
{
    m_stopping = true;
    const std::lock_guard lock(m_mutex);
    if (m_context != nullptr)
        m_context->TryCancel();
}

tl::expected<wire::StatusReply, std::string> requestStatus(const std::string &address,
                                                           Duration timeout)
{
    const auto stub
        = wire::Control::NewStub(grpc::CreateChannel(address, grpc::InsecureChannelCredentials()));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now()
                         + std::chrono::duration_cast<std::chrono::milliseconds>(timeout));
    wire::StatusReply reply;
    const grpc::Status status = stub->GetStatus(&context, {}, &reply);
    if (!status.ok())
        return tl::make_unexpected(status.error_message());
    return reply;
}

} // namespace fordwood::adapters
