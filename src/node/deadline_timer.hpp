// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_DEADLINE_TIMER_HPP_INCLUDED
#define FORDWOOD_NODE_DEADLINE_TIMER_HPP_INCLUDED

#include <boost/asio/basic_waitable_timer.hpp>

#include "adapters/system_clock.hpp"

namespace fordwood::node {

// A timer for a moment that does not wait for a VM that is suspended: on waking it goes off as soon
// as the thread's next regular work is due. A steady timer would hold a request as long after its
// deadline as the VM was suspended.
using DeadlineTimer = boost::asio::basic_waitable_timer<adapters::BootClock>;

} // namespace fordwood::node

#endif // FORDWOOD_NODE_DEADLINE_TIMER_HPP_INCLUDED
