// SPDX-License-Identifier: MIT
#include "apps/common/process_signals.hpp"

#include <chrono>
#include <ctime>

namespace fordwood::apps {

namespace {

// How often the process makes sure that no signal is pending. Tells how long one may have been when
// it is taken, as a process without processor time takes none.
constexpr std::chrono::milliseconds kCheckInterval{100};

} // namespace

ProcessSignals::ProcessSignals(std::initializer_list<int> numbers)
    : m_lastWithoutSignal(m_clock.now())
{
    sigemptyset(&m_signals);
    for (const int it : numbers)
        sigaddset(&m_signals, it);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

bool ProcessSignals::isAnyPending() const
{
    sigset_t pending{};
    if (sigpending(&pending) != 0)
        return true; // not known
    sigandset(&pending, &pending, &m_signals);
    return sigisemptyset(&pending) == 0;
}

ProcessSignals::Taken ProcessSignals::wait()
{
    const timespec interval{0, std::chrono::nanoseconds(kCheckInterval).count()};
    for (;;) {
        const TimePoint now = m_clock.now();
        if (!isAnyPending())
            m_lastWithoutSignal = now;
        const int signal = sigtimedwait(&m_signals, nullptr, &interval);
        if (signal > 0)
            return {signal, m_lastWithoutSignal, m_clock.now()};
    }
}

} // namespace fordwood::apps
