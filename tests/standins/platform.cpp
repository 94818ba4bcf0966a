// SPDX-License-Identifier: MIT
// Stand-in for the platform: the key-value service (the etcd v3 messages that Fordwood uses) and
// the VM list. PUT /faults switches faults on:
//   {"outage": bool, "slow_ms": n, "lose_replies": n, "list_lag_ms": n,
//    "writes_per_second": n, "reads_per_second": n}
// Usage: standin-platform KEY_VALUE_ADDRESS HTTP_ADDRESS
#include <condition_variable>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <nlohmann/json.hpp>

#include "etcd/rpc.grpc.pb.h"
#include "standins/blocking_server.hpp"

namespace {

using namespace fordwood::standins;
using namespace etcdserverpb;
using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

// Limits the calls per second.
class RateLimit
{
public:
    bool take(double perSecond)
    {
        const auto now = SteadyClock::now();
        const double passed = std::chrono::duration<double>(now - m_last).count();
        m_last = now;
        m_tokens = std::min(perSecond, m_tokens + passed * perSecond);
        if (perSecond <= 0)
            return true;
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    SteadyClock::time_point m_last = SteadyClock::now();
    double m_tokens = 1e9;
};

struct Faults
{
    bool outage = false;
    int slowMs = 0;
    int loseReplies = 0; // number of writes that take effect but then fail
    int listLagMs = 0;
    double writesPerSecond = 0; // zero: no limit
    double readsPerSecond = 0;
};

// The store, its faults and its counters; shared by all services.
class State
{
public:
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, mvccpb::KeyValue> values;
    std::int64_t revision = 1;
    Faults faults;
    std::map<std::string, std::int64_t> calls;
    struct LeaseState
    {
        std::int64_t seconds = 0;
        SteadyClock::time_point renewed;
    };
    std::map<std::int64_t, LeaseState> leases;
    std::int64_t lastLease = 0;
    bool stopping = false;

    // Ends a lease and deletes the keys attached to it. Call with the mutex held.
    void endLease(std::int64_t id)
    {
        leases.erase(id);
        const auto n
            = std::erase_if(values, [&](const auto &it) { return it.second.lease() == id; });
        revision += n > 0 ? 1 : 0;
    }

    // Ends expired leases. Call with the mutex held.
    void endOldLeases()
    {
        std::vector<std::int64_t> old;
        for (const auto &[id, it] : leases) {
            if (it.renewed + std::chrono::seconds(it.seconds) < SteadyClock::now())
                old.push_back(id);
        }
        for (const std::int64_t id : old)
            endLease(id);
    }

    // Counts a call and applies the faults. If the status is not OK, the call must fail with it
    // without being executed.
    grpc::Status enter(const std::string &name, bool write)
    {
        int slowMs = 0;
        {
            const std::lock_guard lock(mutex);
            ++calls[name];
            endOldLeases();
            if (faults.outage)
                return {grpc::StatusCode::UNAVAILABLE, "outage"};
            const bool taken = write ? m_writes.take(faults.writesPerSecond)
                                     : m_reads.take(faults.readsPerSecond);
            if (!taken)
                return {grpc::StatusCode::RESOURCE_EXHAUSTED, "too many calls"};
            slowMs = faults.slowMs;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(slowMs));
        return grpc::Status::OK;
    }

    // Call after a write has taken effect; not OK if its reply is to be lost.
    grpc::Status leave()
    {
        const std::lock_guard lock(mutex);
        if (faults.loseReplies <= 0)
            return grpc::Status::OK;
        --faults.loseReplies;
        return {grpc::StatusCode::UNAVAILABLE, "reply lost"};
    }

private:
    RateLimit m_writes;
    RateLimit m_reads;
};

class KvService : public KV::Service
{
public:
    explicit KvService(State &state) : m_state(state) { }

    grpc::Status Range(grpc::ServerContext *, const RangeRequest *request,
                       RangeResponse *response) override
    {
        if (auto status = m_state.enter("range", false); !status.ok())
            return status;
        const std::lock_guard lock(m_state.mutex);
        range(*request, *response);
        return grpc::Status::OK;
    }

    grpc::Status Put(grpc::ServerContext *, const PutRequest *request,
                     PutResponse *response) override
    {
        if (auto status = m_state.enter("put", true); !status.ok())
            return status;
        {
            const std::lock_guard lock(m_state.mutex);
            ++m_state.revision;
            put(*request);
            response->mutable_header()->set_revision(m_state.revision);
        }
        m_state.changed.notify_all();
        return m_state.leave();
    }

    grpc::Status DeleteRange(grpc::ServerContext *, const DeleteRangeRequest *request,
                             DeleteRangeResponse *response) override
    {
        if (auto status = m_state.enter("delete", true); !status.ok())
            return status;
        {
            const std::lock_guard lock(m_state.mutex);
            ++m_state.revision;
            response->set_deleted(static_cast<std::int64_t>(m_state.values.erase(request->key())));
        }
        m_state.changed.notify_all();
        return m_state.leave();
    }

    grpc::Status Txn(grpc::ServerContext *, const TxnRequest *request,
                     TxnResponse *response) override
    {
        const bool write = writes(*request);
        if (auto status = m_state.enter(write ? "txn_write" : "txn_read", write); !status.ok())
            return status;
        {
            const std::lock_guard lock(m_state.mutex);
            if (write)
                ++m_state.revision;
            run(*request, *response);
            response->mutable_header()->set_revision(m_state.revision);
        }
        m_state.changed.notify_all();
        return write ? m_state.leave() : grpc::Status::OK;
    }

private:
    static bool writes(const TxnRequest &request)
    {
        for (const auto *list : {&request.success(), &request.failure()}) {
            for (const RequestOp &it : *list) {
                if (it.has_request_put() || it.has_request_delete_range()
                    || (it.has_request_txn() && writes(it.request_txn())))
                    return true;
            }
        }
        return false;
    }

    void range(const RangeRequest &request, RangeResponse &response)
    {
        response.mutable_header()->set_revision(m_state.revision);
        auto it = m_state.values.lower_bound(request.key());
        for (; it != m_state.values.end(); ++it) {
            const bool inside = request.range_end().empty() ? it->first == request.key()
                                                            : it->first < request.range_end();
            if (!inside)
                break;
            *response.add_kvs() = it->second;
        }
        response.set_count(response.kvs_size());
    }

    void put(const PutRequest &request)
    {
        mvccpb::KeyValue &value = m_state.values[request.key()];
        if (value.version() == 0)
            value.set_create_revision(m_state.revision);
        value.set_key(request.key());
        value.set_value(request.value());
        value.set_lease(request.lease());
        value.set_mod_revision(m_state.revision);
        value.set_version(value.version() + 1);
    }

    bool holds(const Compare &compare) const
    {
        const auto it = m_state.values.find(compare.key());
        const mvccpb::KeyValue none;
        const mvccpb::KeyValue &value = it == m_state.values.end() ? none : it->second;
        switch (compare.target()) {
        case Compare::MOD:
            return value.mod_revision() == compare.mod_revision();
        case Compare::CREATE:
            return value.create_revision() == compare.create_revision();
        case Compare::VERSION:
            return value.version() == compare.version();
        case Compare::VALUE:
            return value.value() == compare.value();
        default:
            return false;
        }
    }

    void run(const TxnRequest &request, TxnResponse &response)
    {
        bool all = true;
        for (const Compare &it : request.compare())
            all = all && holds(it);
        response.set_succeeded(all);
        for (const RequestOp &it : all ? request.success() : request.failure()) {
            ResponseOp *op = response.add_responses();
            if (it.has_request_range()) {
                range(it.request_range(), *op->mutable_response_range());
            } else if (it.has_request_put()) {
                put(it.request_put());
                op->mutable_response_put();
            } else if (it.has_request_txn()) {
                run(it.request_txn(), *op->mutable_response_txn());
            } else if (it.has_request_delete_range()) {
                m_state.values.erase(it.request_delete_range().key());
                op->mutable_response_delete_range();
            }
        }
    }

    State &m_state;
};

class WatchService : public Watch::Service
{
public:
    explicit WatchService(State &state) : m_state(state) { }

    grpc::Status Watch(grpc::ServerContext *context,
                       grpc::ServerReaderWriter<WatchResponse, WatchRequest> *stream) override
    {
        if (auto status = m_state.enter("watch", false); !status.ok())
            return status;
        WatchRequest request;
        if (!stream->Read(&request) || !request.has_create_request())
            return grpc::Status::OK;
        const std::string key = request.create_request().key();
        std::int64_t next = request.create_request().start_revision();
        WatchResponse created;
        created.set_created(true);
        stream->Write(created);
        while (true) {
            std::unique_lock lock(m_state.mutex);
            m_state.changed.wait_for(lock, std::chrono::milliseconds(100));
            if (m_state.faults.outage)
                return {grpc::StatusCode::UNAVAILABLE, "outage"};
            if (m_state.stopping || context->IsCancelled())
                return grpc::Status::OK;
            const auto it = m_state.values.find(key);
            if (it == m_state.values.end() || it->second.mod_revision() < next)
                continue;
            next = it->second.mod_revision() + 1;
            WatchResponse response;
            response.mutable_header()->set_revision(m_state.revision);
            *response.add_events()->mutable_kv() = it->second;
            lock.unlock();
            if (!stream->Write(response))
                return grpc::Status::OK;
        }
    }

private:
    State &m_state;
};

class LeaseService : public Lease::Service
{
public:
    explicit LeaseService(State &state) : m_state(state) { }

    grpc::Status LeaseGrant(grpc::ServerContext *, const LeaseGrantRequest *request,
                            LeaseGrantResponse *response) override
    {
        if (auto status = m_state.enter("lease_grant", true); !status.ok())
            return status;
        {
            const std::lock_guard lock(m_state.mutex);
            const std::int64_t id = request->id() != 0 ? request->id() : ++m_state.lastLease;
            m_state.leases[id] = {request->ttl(), SteadyClock::now()};
            response->set_id(id);
            response->set_ttl(request->ttl());
        }
        return m_state.leave();
    }

    grpc::Status LeaseRevoke(grpc::ServerContext *, const LeaseRevokeRequest *request,
                             LeaseRevokeResponse *) override
    {
        if (auto status = m_state.enter("lease_revoke", true); !status.ok())
            return status;
        {
            const std::lock_guard lock(m_state.mutex);
            m_state.endLease(request->id());
        }
        m_state.changed.notify_all();
        return m_state.leave();
    }

    grpc::Status LeaseKeepAlive(
        grpc::ServerContext *,
        grpc::ServerReaderWriter<LeaseKeepAliveResponse, LeaseKeepAliveRequest> *stream) override
    {
        LeaseKeepAliveRequest request;
        while (stream->Read(&request)) {
            if (auto status = m_state.enter("lease_keep_alive", true); !status.ok())
                return status;
            LeaseKeepAliveResponse response;
            {
                const std::lock_guard lock(m_state.mutex);
                const auto it = m_state.leases.find(request.id());
                response.set_id(request.id());
                if (it != m_state.leases.end()) {
                    it->second.renewed = SteadyClock::now();
                    response.set_ttl(it->second.seconds);
                }
            }
            stream->Write(response);
        }
        return grpc::Status::OK;
    }

private:
    State &m_state;
};

// The VM list, served with the delay list_lag_ms.
class VmList
{
public:
    void set(const std::string &json)
    {
        const std::lock_guard lock(m_mutex);
        m_history.emplace_back(SteadyClock::now(), json);
    }

    std::string get(int lagMs)
    {
        const std::lock_guard lock(m_mutex);
        const auto limit = SteadyClock::now() - std::chrono::milliseconds(lagMs);
        while (m_history.size() > 1 && m_history[1].first <= limit)
            m_history.pop_front();
        return m_history.front().second;
    }

private:
    std::mutex m_mutex;
    std::deque<std::pair<SteadyClock::time_point, std::string>> m_history{
        {SteadyClock::time_point(), R"({"revision":0,"vms":[]})"}};
};

Answer setFaults(State &state, const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return {400, "text/plain", "expected an object\n", {}, {}, false, false};
    {
        const std::lock_guard lock(state.mutex);
        Faults &faults = state.faults;
        faults.outage = json.value("outage", faults.outage);
        faults.slowMs = json.value("slow_ms", faults.slowMs);
        faults.loseReplies = json.value("lose_replies", faults.loseReplies);
        faults.listLagMs = json.value("list_lag_ms", faults.listLagMs);
        faults.writesPerSecond = json.value("writes_per_second", faults.writesPerSecond);
        faults.readsPerSecond = json.value("reads_per_second", faults.readsPerSecond);
    }
    state.changed.notify_all();
    return {};
}

Answer answer(State &state, VmList &list, const Request &request)
{
    Answer result;
    if (request.path == "/vms" && request.method == "PUT") {
        list.set(request.body);
    } else if (request.path == "/vms") {
        int lagMs = 0;
        {
            const std::lock_guard lock(state.mutex);
            ++state.calls["vm_list"];
            lagMs = state.faults.listLagMs;
            if (state.faults.outage)
                result.cutConnection = true;
        }
        result.body = list.get(lagMs);
        const std::string tag = "\"" + std::to_string(std::hash<std::string>{}(result.body)) + "\"";
        result.headers["ETag"] = tag;
        if (request.header("If-None-Match") == tag) {
            result.status = 304;
            result.body.clear();
        }
    } else if (request.path == "/faults" && request.method == "PUT") {
        return setFaults(state, request.body);
    } else if (request.path == "/counters") {
        const std::lock_guard lock(state.mutex);
        result.body = Json(state.calls).dump();
    } else {
        result.status = 404;
    }
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: standin-platform KEY_VALUE_ADDRESS HTTP_ADDRESS\n";
        return 2;
    }
    blockSignals();
    State state;
    VmList list;
    KvService keyValue(state);
    WatchService watch(state);
    LeaseService lease(state);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(argv[1], grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(&keyValue);
    builder.RegisterService(&watch);
    builder.RegisterService(&lease);
    const auto server = builder.BuildAndStart();
    const BlockingServer http(argv[2],
                              [&](const Request &request) { return answer(state, list, request); });
    if (!server || port == 0 || !http.listening()) {
        std::cerr << "standin-platform: cannot listen on " << argv[1] << " or " << argv[2] << "\n";
        return 1;
    }
    waitForSignal();
    {
        const std::lock_guard lock(state.mutex);
        state.stopping = true;
    }
    state.changed.notify_all();
    server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(200));
    return 0;
}
