// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_LOAD_VIEW_HPP_INCLUDED
#define FORDWOOD_LOAD_VIEW_HPP_INCLUDED

#include <string>

#include "fordwood/upstream_load.hpp"

namespace fordwood {

// The outstanding work at each upstream, as far as it is known.
class LoadView
{
public:
    LoadView() = default;
    LoadView(const LoadView &) = default;
    LoadView(LoadView &&) = default;
    LoadView &operator=(const LoadView &) = default;
    LoadView &operator=(LoadView &&) = default;
    virtual ~LoadView() = default;

    // The load from the requests of all nodes.
    virtual UpstreamLoad total(const std::string &instanceId) const = 0;
};

} // namespace fordwood

#endif // FORDWOOD_LOAD_VIEW_HPP_INCLUDED
