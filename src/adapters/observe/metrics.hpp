// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_OBSERVE_METRICS_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_OBSERVE_METRICS_HPP_INCLUDED

#include <map>
#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "fordwood/clock.hpp"
#include "fordwood/reason.hpp"

namespace fordwood::adapters {

// The counters, gauges and histograms of one process. The counters of every reason are registered
// at startup, so that they are exported as zero before their first increment. Thread-safe.
class Metrics
{
public:
    Metrics();

    // Counts a request that ended without a complete answer from an upstream.
    void countRefusal(Reason reason);

    // Counts a call that was sent again or whose permit was requested again.
    void countRetry(Reason reason);

    // Increments a counter by name.
    void count(const std::string &name, double by = 1.0);

    // Increments a counter by name and labels. Their values must be few.
    void count(const std::string &name, const std::map<std::string, std::string> &labels,
               double by = 1.0);

    void setGauge(const std::string &name, double value,
                  const std::map<std::string, std::string> &labels = {});

    // Adds a time to a histogram.
    void observe(const std::string &name, Duration time);

    // Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    std::map<Reason, prometheus::Counter *> m_refusals;
    std::map<Reason, prometheus::Counter *> m_retries;
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_OBSERVE_METRICS_HPP_INCLUDED
