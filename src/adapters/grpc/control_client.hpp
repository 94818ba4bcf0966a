// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_GRPC_CONTROL_CLIENT_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_GRPC_CONTROL_CLIENT_HPP_INCLUDED

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include <tl/expected.hpp>

#include "fordwood/clock.hpp"
#include "fordwood/control.grpc.pb.h"

namespace fordwood::adapters {

// Receives snapshots from the controld on the same VM and reconnects after it was restarted.
class ControlClient
{
public:
    ControlClient(const std::string &address, std::string node);

    // Runs until stop(). Calls `onSnapshot` for each snapshot and `onLost` with an error message
    // when the connection is lost.
    void run(const std::function<void(const wire::Snapshot &)> &onSnapshot,
             const std::function<void(const std::string &message)> &onLost);

    // Makes run() return. May be called from another thread.
    void stop();

private:
    std::string m_node;
    std::unique_ptr<wire::Control::Stub> m_stub;
    std::mutex m_mutex;
    grpc::ClientContext *m_context = nullptr;
    std::atomic<bool> m_stopping{false};
};

// Requests the status of one controld. On failure returns an error message.
tl::expected<wire::StatusReply, std::string> requestStatus(const std::string &address,
                                                           Duration timeout);

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_GRPC_CONTROL_CLIENT_HPP_INCLUDED
