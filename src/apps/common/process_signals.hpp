// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_COMMON_PROCESS_SIGNALS_HPP_INCLUDED
#define FORDWOOD_APPS_COMMON_PROCESS_SIGNALS_HPP_INCLUDED

#include <csignal>
#include <initializer_list>

#include "adapters/system_clock.hpp"

namespace fordwood::apps {

// The signals that a program handles, one after the other, on its main thread.
class ProcessSignals
{
public:
    // Blocks the signals in this thread and in all that it starts from now on. Also ignores
    // SIGPIPE, so that a write to a closed connection raises no signal.
    explicit ProcessSignals(std::initializer_list<int> numbers);

    struct Taken
    {
        int number = 0;
        TimePoint sentAt{}; // at the earliest
        TimePoint takenAt{};
    };

    // Waits for the next signal.
    Taken wait();

private:
    bool isAnyPending() const;

    const adapters::SystemClock m_clock;
    sigset_t m_signals{};
    TimePoint m_lastWithoutSignal; // when none was pending
};

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_COMMON_PROCESS_SIGNALS_HPP_INCLUDED
