// SPDX-License-Identifier: MIT
#include "apps/common/terminate_log.hpp"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <string>
#include <thread>

#include "adapters/observe/build_version.hpp"
#include "adapters/observe/event_log.hpp"

namespace fordwood::apps {

namespace {

using adapters::Event;
using adapters::logEvent;

std::string currentError()
{
    const std::exception_ptr error = std::current_exception();
    if (!error)
        return "std::terminate() without an exception";
    try {
        std::rethrow_exception(error);
    } catch (const std::exception &ec) {
        return ec.what();
    } catch (...) {
        return "an exception of another type than std::exception";
    }
}

[[noreturn]] void onTerminate()
{
    static std::atomic<bool> hasBegun{false};
    if (hasBegun.exchange(true)) { // in another thread, which ends the process
        for (;;)
            std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    logEvent(Event::EndsByError,
             {{"error", currentError()}, {"version", adapters::buildVersion()}});
    adapters::flushLogBeforeAbort();
    std::abort();
}

} // namespace

void logErrorsThatTerminate()
{
    std::set_terminate(&onTerminate);
}

} // namespace fordwood::apps
