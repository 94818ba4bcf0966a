// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_INCOMING_LIMIT_HPP_INCLUDED
#define FORDWOOD_INCOMING_LIMIT_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace fordwood {

// Bounds the bytes of all requests that are being read, and names the one to give up when they
// exceed the limit: the largest, of equal ones the newest. Requests of the usual size are whole at
// once and small, so that they pass while a crowd uses up the limit.
//
// Load pattern: thousands of callers, each within the bounds of one connection, send heads, bodies
// or trailers that do not end, while others send requests at their usual rate.
class IncomingLimit
{
public:
    using Id = std::uint64_t;

    // `maxBytes`: of all requests that are being read.
    explicit IncomingLimit(std::size_t maxBytes) : m_maxBytes(maxBytes) { }

    // A request begins to be read.
    Id begin();

    // The request takes so many bytes now.
    void resize(Id request, std::size_t bytes);

    // The request is whole, or given up.
    void end(Id request);

    // The request to give up next; nothing while all are within the limit.
    std::optional<Id> excess() const;

    std::size_t total() const { return m_total; }

private:
    const std::size_t m_maxBytes;
    std::size_t m_total = 0;
    Id m_lastId = 0;
    std::map<Id, std::size_t> m_bytes; // of the requests that are being read
};

} // namespace fordwood

#endif // FORDWOOD_INCOMING_LIMIT_HPP_INCLUDED
