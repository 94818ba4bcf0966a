// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_SUPPORT_COUNTING_CLOCK_HPP_INCLUDED
#define FORDWOOD_TESTS_SUPPORT_COUNTING_CLOCK_HPP_INCLUDED

#include <atomic>
#include <cstdint>

#include "fordwood/clock.hpp"

namespace fordwood {

// A manual clock that other threads can read while a test advances it. It counts the reads, so that
// the test can wait until a thread has read the new time.
class CountingClock : public Clock
{
public:
    TimePoint now() const override
    {
        const TimePoint now{Duration(m_now.load())};
        ++m_reads;
        return now;
    }
    WallTime wallNow() const override
    {
        return WallTime(
            std::chrono::duration_cast<std::chrono::milliseconds>(Duration(m_now.load())));
    }

    void advance(Duration by) { m_now += by.count(); }
    std::uint64_t reads() const { return m_reads; }

private:
    std::atomic<Duration::rep> m_now{Duration(std::chrono::hours(1)).count()};
    mutable std::atomic<std::uint64_t> m_reads{0};
};

} // namespace fordwood

#endif // FORDWOOD_TESTS_SUPPORT_COUNTING_CLOCK_HPP_INCLUDED
