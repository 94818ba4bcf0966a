// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_REPLICA_CHECK_HPP_INCLUDED
#define FORDWOOD_NODE_REPLICA_CHECK_HPP_INCLUDED

#include <cstddef>
#include <functional>
#include <optional>

#include "node/fleet_update.hpp"

namespace fordwood::node {

// Finds out whether the replica has all that the platform's store had at a moment: by a read of the
// store that was sent after it. Used only on the control thread.
class ReplicaCheck
{
public:
    // Reads from the store what the replica lacks, unless such a read is on its way. Returns false
    // if that is not possible now.
    using Poll = std::function<bool()>;
    using Publish = std::function<void(const ReplicaChecked &)>;

    ReplicaCheck(Poll poll, Publish publish)
        : m_poll(std::move(poll)), m_publish(std::move(publish))
    { }

    // Answers by a call of Publish, unless another request comes before that.
    void request(TimePoint since);

    // A read has ended that was sent at that time. `isComplete`: the replica has all that the store
    // had then. This is published also if no request is open.
    void pollEnded(TimePoint sentAt, bool isComplete);

private:
    void poll();
    void end(TimePoint asOf, bool isComplete);

    const Poll m_poll;
    const Publish m_publish;
    std::optional<TimePoint> m_since; // of the request that is not answered
    std::size_t m_failures = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_REPLICA_CHECK_HPP_INCLUDED
