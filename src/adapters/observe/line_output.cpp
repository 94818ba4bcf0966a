// SPDX-License-Identifier: MIT
#include "adapters/observe/line_output.hpp"

#include <poll.h>
#include <unistd.h>

#include <cerrno>

namespace fordwood::adapters {

std::error_code LineOutput::write(std::string_view line)
{
    std::error_code ec;
    if (m_isWithinLine) {
        if (writeBytes("\n", ec) == 0)
            return ec;
        m_isWithinLine = false;
    }
    const std::size_t written = writeBytes(line, ec);
    m_isWithinLine = written > 0 && written < line.size();
    return ec;
}

std::size_t LineOutput::writeBytes(std::string_view bytes, std::error_code &ec) const
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t n = ::write(m_descriptor, bytes.data() + written, bytes.size() - written);
        if (n > 0) {
            written += static_cast<std::size_t>(n);
        } else if (n < 0 && errno == EAGAIN) {
            pollfd writable{m_descriptor, POLLOUT, 0};
            poll(&writable, 1, -1);
        } else if (n == 0 || errno != EINTR) {
            ec.assign(n == 0 ? EIO : errno, std::generic_category());
            break;
        }
    }
    return written;
}

} // namespace fordwood::adapters
