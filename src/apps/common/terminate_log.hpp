// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_COMMON_TERMINATE_LOG_HPP_INCLUDED
#define FORDWOOD_APPS_COMMON_TERMINATE_LOG_HPP_INCLUDED

namespace fordwood::apps {

// Makes the process log the error by which it ends if an exception leaves a thread, and what is
// pending in the log. Call after startLogThread().
void logErrorsThatTerminate();

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_COMMON_TERMINATE_LOG_HPP_INCLUDED
