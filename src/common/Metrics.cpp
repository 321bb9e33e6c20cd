#include "common/Metrics.h"

#include <prometheus/text_serializer.h>

namespace gwt {

namespace {

const prometheus::Histogram::BucketBoundaries latencyBuckets
    = {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};

} // namespace

prometheus::Counter &Metrics::counter(const std::string &name, const std::string &help,
                                      const MetricLabels &labels)
{
    const std::lock_guard lock(m_mutex);
    auto &family = m_counters[name];
    if (!family)
        family = &prometheus::BuildCounter().Name(name).Help(help).Register(m_registry);
    return family->Add(labels);
}

void Metrics::removeCounter(const std::string &name, prometheus::Counter &counter)
{
    const std::lock_guard lock(m_mutex);
    const auto family = m_counters.find(name);
    if (family != m_counters.end())
        family->second->Remove(&counter);
}

prometheus::Gauge &Metrics::gauge(const std::string &name, const std::string &help,
                                  const MetricLabels &labels)
{
    const std::lock_guard lock(m_mutex);
    auto &family = m_gauges[name];
    if (!family)
        family = &prometheus::BuildGauge().Name(name).Help(help).Register(m_registry);
    return family->Add(labels);
}

prometheus::Histogram &Metrics::latency(const std::string &name, const std::string &help,
                                        const MetricLabels &labels)
{
    const std::lock_guard lock(m_mutex);
    auto &family = m_latencies[name];
    if (!family)
        family = &prometheus::BuildHistogram().Name(name).Help(help).Register(m_registry);
    return family->Add(labels, latencyBuckets);
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace gwt
