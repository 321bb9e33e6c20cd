#include "common/LatencyHistogram.h"

#include <cmath>

namespace gwt {

namespace {

constexpr std::chrono::duration<double> smallest{50e-6};
constexpr double growth = 1.16; ///< ratio of a bucket's upper bound to the previous one

} // namespace

void LatencyHistogram::add(Duration latency)
{
    const double ratio = std::chrono::duration<double>(latency) / smallest;
    const double position = ratio <= 1 ? 0 : std::ceil(std::log(ratio) / std::log(growth));
    const auto last = static_cast<double>(s_bucketCount - 1);
    ++m_counts[static_cast<std::size_t>(std::min(position, last))];
    if (++m_total < 2 * s_window)
        return;
    m_total = 0;
    for (std::uint32_t &count : m_counts) {
        count /= 2;
        m_total += count;
    }
}

Duration LatencyHistogram::quantile(double q) const
{
    const double wanted = q * m_total;
    double seen = 0;
    for (std::size_t i = 0; i < s_bucketCount && m_total > 0; ++i) {
        seen += m_counts[i];
        if (seen >= wanted) {
            const double bound = std::pow(growth, static_cast<double>(i));
            return std::chrono::duration_cast<Duration>(smallest * bound);
        }
    }
    return Duration::zero();
}

} // namespace gwt
