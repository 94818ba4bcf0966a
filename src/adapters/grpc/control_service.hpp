// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_GRPC_CONTROL_SERVICE_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_GRPC_CONTROL_SERVICE_HPP_INCLUDED

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "fordwood/control.grpc.pb.h"

namespace fordwood::adapters {

// The gRPC service of controld that streams snapshots and reports its status. Thread-safe.
class ControlService : public wire::Control::CallbackService
{
public:
    ControlService();
    ~ControlService() override;

    // Sets the snapshot that all streams send. `full` contains every piece; each stream sends only
    // those that its subscriber does not have yet.
    void publish(const std::shared_ptr<const wire::Snapshot> &full);

    void setStatus(const wire::StatusReply &status);

    // Finishes all streams so that the server can shut down.
    void closeAll();

    grpc::ServerWriteReactor<wire::Snapshot> *
    WatchSnapshots(grpc::CallbackServerContext *context,
                   const wire::SnapshotRequest *request) override;
    grpc::ServerUnaryReactor *GetStatus(grpc::CallbackServerContext *context,
                                        const wire::StatusRequest *request,
                                        wire::StatusReply *reply) override;

private:
    class Stream;

    void remove(std::uint64_t id);

    std::mutex m_mutex;
    std::shared_ptr<const wire::Snapshot> m_fullSnapshot;
    wire::StatusReply m_status;
    std::map<std::uint64_t, std::shared_ptr<Stream>> m_streams;
    std::uint64_t m_nextId = 1;
    bool m_isClosing = false;
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_GRPC_CONTROL_SERVICE_HPP_INCLUDED
