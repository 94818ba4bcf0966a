// SPDX-License-Identifier: MIT
#include "adapters/platform/etcd_store.hpp"

#include <grpcpp/create_channel.h>

namespace fordwood::adapters {

namespace {

constexpr int kKeepAliveMs = 10'000;
constexpr int kKeepAliveTimeoutMs = 3'000;
constexpr int kReconnectBackoffMs = 500;
constexpr int kMaxReceiveBytes = 16 << 20;

void setDeadline(grpc::ClientContext &context, Duration timeout)
{
    context.set_deadline(std::chrono::system_clock::now()
                         + std::chrono::duration_cast<std::chrono::milliseconds>(timeout));
}

// Whether a failed write may have been executed. Only errors that the service returns before it
// executes anything count as "not run"; "unavailable" does not, since the connection may be lost
// after the write was executed.
RunState writeState(const grpc::Status &status)
{
    switch (status.error_code()) {
    case grpc::StatusCode::RESOURCE_EXHAUSTED:
    case grpc::StatusCode::INVALID_ARGUMENT:
    case grpc::StatusCode::UNIMPLEMENTED:
    case grpc::StatusCode::PERMISSION_DENIED:
        return RunState::NotRun;
    default:
        return RunState::MayHaveRun;
    }
}

std::string errorText(const grpc::Status &status)
{
    return "key-value service: " + status.error_message() + " (code "
           + std::to_string(static_cast<int>(status.error_code())) + ")";
}

std::optional<StoredValue> firstValue(const etcdserverpb::RangeResponse &response)
{
    if (response.kvs().empty())
        return std::nullopt;
    return StoredValue{response.kvs(0).value(), response.kvs(0).mod_revision()};
}

void requireRevision(etcdserverpb::Compare &compare, const ConditionalWrite &write)
{
    compare.set_key(write.key);
    compare.set_result(etcdserverpb::Compare::EQUAL);
    compare.set_target(etcdserverpb::Compare::MOD);
    compare.set_mod_revision(write.expectedRevision);
}

} // namespace

KeyWatch::KeyWatch(etcdserverpb::Watch::Stub &stub, const std::string &key,
                   std::int64_t fromRevision)
    : m_stream(stub.Watch(&m_context))
{
    etcdserverpb::WatchRequest request;
    request.mutable_create_request()->set_key(key);
    request.mutable_create_request()->set_start_revision(fromRevision);
    m_stream->Write(request);
}

WatchResult KeyWatch::next()
{
    etcdserverpb::WatchResponse response;
    while (m_stream->Read(&response)) {
        if (response.canceled())
            return tl::make_unexpected(
                StoreError{RunState::NotRun, "watch ended: " + response.cancel_reason()});
        if (response.events().empty())
            continue;
        const auto &event = response.events(response.events_size() - 1);
        return StoredValue{event.kv().value(), event.kv().mod_revision()};
    }
    return tl::make_unexpected(StoreError{RunState::NotRun, errorText(m_stream->Finish())});
}

EtcdStore::EtcdStore(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepAliveMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepAliveTimeoutMs);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kReconnectBackoffMs);
    arguments.SetMaxReceiveMessageSize(kMaxReceiveBytes);
    // Retries by the library would hide whether a write was executed.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    m_channel = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
    m_keyValue = etcdserverpb::KV::NewStub(m_channel);
    m_watch = etcdserverpb::Watch::NewStub(m_channel);
}

StoreResult<std::optional<StoredValue>> EtcdStore::get(const std::string &key, Duration timeout)
{
    grpc::ClientContext context;
    setDeadline(context, timeout);
    etcdserverpb::RangeRequest request;
    request.set_key(key);
    etcdserverpb::RangeResponse response;
    const grpc::Status status = m_keyValue->Range(&context, request, &response);
    if (!status.ok())
        return tl::make_unexpected(StoreError{RunState::NotRun, errorText(status)});
    return firstValue(response);
}

StoreResult<std::vector<std::optional<StoredValue>>>
EtcdStore::getMany(const std::vector<std::string> &keys, Duration timeout)
{
    constexpr std::size_t kKeysPerCall = 100;
    std::vector<std::optional<StoredValue>> values;
    for (std::size_t begin = 0; begin < keys.size(); begin += kKeysPerCall) {
        etcdserverpb::TxnRequest request;
        for (std::size_t it = begin; it < std::min(keys.size(), begin + kKeysPerCall); ++it)
            request.add_success()->mutable_request_range()->set_key(keys[it]);
        const auto response = run(request, timeout);
        if (!response)
            return tl::make_unexpected(StoreError{RunState::NotRun, response.error().text});
        for (const auto &it : response->responses())
            values.push_back(firstValue(it.response_range()));
    }
    return values;
}

StoreResult<bool> EtcdStore::write(const std::vector<ConditionalWrite> &writes, Duration timeout)
{
    etcdserverpb::TxnRequest request;
    for (const ConditionalWrite &it : writes) {
        requireRevision(*request.add_compare(), it);
        auto *put = request.add_success()->mutable_request_put();
        put->set_key(it.key);
        put->set_value(it.value);
    }
    const auto response = run(request, timeout);
    if (!response)
        return tl::make_unexpected(response.error());
    return response->succeeded();
}

StoreResult<bool> EtcdStore::writeMissing(const std::vector<ConditionalWrite> &writes,
                                          Duration timeout)
{
    etcdserverpb::TxnRequest request;
    for (const ConditionalWrite &it : writes) {
        etcdserverpb::TxnRequest *transaction = request.add_success()->mutable_request_txn();
        requireRevision(*transaction->add_compare(), {it.key, 0, {}});
        auto *put = transaction->add_success()->mutable_request_put();
        put->set_key(it.key);
        put->set_value(it.value);
    }
    const auto response = run(request, timeout);
    if (!response)
        return tl::make_unexpected(response.error());
    return true;
}

std::shared_ptr<KeyWatch> EtcdStore::watch(const std::string &key, std::int64_t afterRevision)
{
    return std::make_shared<KeyWatch>(*m_watch, key, afterRevision + 1);
}

StoreResult<etcdserverpb::TxnResponse> EtcdStore::run(const etcdserverpb::TxnRequest &request,
                                                      Duration timeout)
{
    grpc::ClientContext context;
    setDeadline(context, timeout);
    etcdserverpb::TxnResponse response;
    const grpc::Status status = m_keyValue->Txn(&context, request, &response);
    if (!status.ok())
        return tl::make_unexpected(StoreError{writeState(status), errorText(status)});
    return response;
}

} // namespace fordwood::adapters
