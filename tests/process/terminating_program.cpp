// SPDX-License-Identifier: MIT
// Ends by an exception that leaves a thread, as a program does whose handler has a fault.
#include <stdexcept>
#include <thread>

#include "adapters/observe/event_log.hpp"
#include "apps/common/terminate_log.hpp"

int main()
{
    using namespace fordwood;
    adapters::openEventLog("terminating-program", false);
    adapters::startLogThread();
    apps::logErrorsThatTerminate();
    std::thread([] {
        adapters::logEvent(adapters::Event::Stopping);
        throw std::runtime_error("thrown by a handler");
    }).join();
}
