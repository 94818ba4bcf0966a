// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_OBSERVE_LINE_OUTPUT_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_OBSERVE_LINE_OUTPUT_HPP_INCLUDED

#include <cstddef>
#include <string_view>
#include <system_error>

namespace fordwood::adapters {

// Writes lines to a file descriptor, without a buffer. Other than with a stream of the C++ library,
// a failed write has no effect on later lines: an error of a stream stays set, and all that follows
// is dropped silently.
class LineOutput
{
public:
    explicit LineOutput(int descriptor) : m_descriptor(descriptor) { }

    // Writes a line, which includes its newline. Waits as long as nobody reads a full pipe, also if
    // the descriptor is non-blocking. Returns an error if the line was not written as a whole; the
    // next line then starts on a line of its own.
    std::error_code write(std::string_view line);

private:
    // Returns the number of bytes written before `ec` was set.
    std::size_t writeBytes(std::string_view bytes, std::error_code &ec) const;

    int m_descriptor;
    bool m_isWithinLine = false; // after a line that was written in part
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_OBSERVE_LINE_OUTPUT_HPP_INCLUDED
