// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_DEADLINE_TIMER_HPP_INCLUDED
#define FORDWOOD_NODE_DEADLINE_TIMER_HPP_INCLUDED

#include <boost/asio/basic_waitable_timer.hpp>

#include "adapters/system_clock.hpp"
#include "node/timeout_timer.hpp"

namespace fordwood::node {

// A timer whose clock continues while the VM is suspended. If the deadline has passed when the VM
// resumes, the timer expires by the time of the thread's next periodic work. A steady timer would
// expire later by the whole length of the suspension.
using DeadlineTimer = BasicTimeoutTimer<net::basic_waitable_timer<adapters::BootClock>>;

} // namespace fordwood::node

#endif // FORDWOOD_NODE_DEADLINE_TIMER_HPP_INCLUDED
