// SPDX-License-Identifier: MIT
#include "adapters/observe/metrics.hpp"

#include <prometheus/text_serializer.h>

#include "adapters/observe/build_version.hpp"

namespace fordwood::adapters {

namespace {

const prometheus::Histogram::BucketBoundaries kTimeBuckets{0.0001, 0.00025, 0.0005, 0.001, 0.0025,
                                                           0.005,  0.01,    0.025,  0.05,  0.1,
                                                           0.25,   0.5,     1.0,    2.5,   10.0};

} // namespace

Metrics::Metrics() : m_registry(std::make_shared<prometheus::Registry>())
{
    auto &refusals = prometheus::BuildCounter()
                         .Name("fordwood_refusals_total")
                         .Help("Requests that ended without a whole answer, by reason")
                         .Register(*m_registry);
    auto &retries = prometheus::BuildCounter()
                        .Name("fordwood_retries_total")
                        .Help("Calls sent or asked for again, by reason")
                        .Register(*m_registry);
    for (const ReasonInfo &it : kReasons) {
        const prometheus::Labels labels{{"reason", std::string(it.name)}};
        m_refusals[it.reason] = &refusals.Add(labels);
        m_retries[it.reason] = &retries.Add(labels);
    }
    setGauge("fordwood_build_info", 1, {{"version", buildVersion()}});
}

void Metrics::countRefusal(Reason reason)
{
    m_refusals.at(info(reason).reason)->Increment();
}

void Metrics::countRetry(Reason reason)
{
    m_retries.at(info(reason).reason)->Increment();
}

void Metrics::count(const std::string &name, double by)
{
    prometheus::BuildCounter().Name(name).Register(*m_registry).Add({}).Increment(by);
}

void Metrics::count(const std::string &name, const std::map<std::string, std::string> &labels,
                    double by)
{
    prometheus::BuildCounter().Name(name).Register(*m_registry).Add(labels).Increment(by);
}

void Metrics::setGauge(const std::string &name, double value,
                       const std::map<std::string, std::string> &labels)
{
    prometheus::BuildGauge().Name(name).Register(*m_registry).Add(labels).Set(value);
}

void Metrics::observe(const std::string &name, Duration time)
{
    prometheus::BuildHistogram()
        .Name(name)
        .Register(*m_registry)
        .Add({}, kTimeBuckets)
        .Observe(std::chrono::duration<double>(time).count());
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace fordwood::adapters
