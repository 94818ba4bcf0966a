// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_PLATFORM_ETCD_STORE_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_PLATFORM_ETCD_STORE_HPP_INCLUDED

#include <memory>
#include <string>

#include "etcd/rpc.grpc.pb.h"
#include "fordwood/key_value_store.hpp"

namespace fordwood::adapters {

// A change of a watched key, or the reason why the watch ended.
using WatchResult = StoreResult<StoredValue>;

// A running watch on one key.
class KeyWatch
{
public:
    KeyWatch(etcdserverpb::Watch::Stub &stub, const std::string &key, std::int64_t fromRevision);

    // Blocks until the key is written or the watch ends.
    WatchResult next();

    // Ends the watch; may be called from another thread.
    void cancel() { m_context.TryCancel(); }

private:
    grpc::ClientContext m_context;
    std::unique_ptr<
        grpc::ClientReaderWriter<etcdserverpb::WatchRequest, etcdserverpb::WatchResponse>>
        m_stream;
};

// A client for the key-value service, using the etcd v3 protocol.
class EtcdStore : public KeyValueStore
{
public:
    explicit EtcdStore(const std::string &address);

    StoreResult<std::optional<StoredValue>> get(const std::string &key, Duration timeout) override;
    StoreResult<std::vector<std::optional<StoredValue>>>
    getMany(const std::vector<std::string> &keys, Duration timeout) override;
    StoreResult<bool> write(const std::vector<ConditionalWrite> &writes, Duration timeout) override;
    StoreResult<bool> writeMissing(const std::vector<ConditionalWrite> &writes,
                                   Duration timeout) override;

    // Watches a key for writes that follow a revision.
    std::shared_ptr<KeyWatch> watch(const std::string &key, std::int64_t afterRevision);

private:
    StoreResult<etcdserverpb::TxnResponse> run(const etcdserverpb::TxnRequest &request,
                                               Duration timeout);

    std::shared_ptr<grpc::Channel> m_channel;
    std::unique_ptr<etcdserverpb::KV::Stub> m_keyValue;
    std::unique_ptr<etcdserverpb::Watch::Stub> m_watch;
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_PLATFORM_ETCD_STORE_HPP_INCLUDED
