#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <mutex>
#include <string>

namespace gwt {

using MetricLabels = std::map<std::string, std::string>;

/// \brief Registry of the process's metrics. Returned references are valid as long as this object,
/// except those that removeCounter() takes.
///
/// Thread-safe. Each lookup takes a lock, so hot paths store the reference.
class Metrics
{
public:
    prometheus::Counter &counter(const std::string &name, const std::string &help,
                                 const MetricLabels &labels = {});
    /// \brief Removes \a counter of the metric \a name; references to it become invalid.
    void removeCounter(const std::string &name, prometheus::Counter &counter);
    prometheus::Gauge &gauge(const std::string &name, const std::string &help,
                             const MetricLabels &labels = {});
    /// \brief A latency histogram in seconds with buckets from 0.5 ms to 30 s.
    prometheus::Histogram &latency(const std::string &name, const std::string &help,
                                   const MetricLabels &labels = {});

    /// \brief All metrics in the Prometheus text format.
    std::string text() const;

private:
    mutable std::mutex m_mutex;
    prometheus::Registry m_registry;
    std::map<std::string, prometheus::Family<prometheus::Counter> *> m_counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge> *> m_gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram> *> m_latencies;
};

} // namespace gwt
