#pragma once

#include "common/Time.h"

#include <array>
#include <cstdint>

namespace gwt {

/// \brief A histogram of recent latencies with 96 geometric buckets from 50 us to about 60 s.
///
/// Old samples decay: all counts are halved after every \c s_window samples.
class LatencyHistogram
{
public:
    static constexpr std::uint32_t s_window = 1024;

    void add(Duration latency);
    /// \brief Upper bound of the bucket that contains quantile \a q (0 to 1); zero without samples.
    Duration quantile(double q) const;
    std::uint32_t samples() const { return m_total; }

private:
    static constexpr std::size_t s_bucketCount = 96;

    std::array<std::uint32_t, s_bucketCount> m_counts{};
    std::uint32_t m_total = 0;
};

} // namespace gwt
