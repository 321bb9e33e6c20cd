#pragma once

#include "common/Time.h"

#include <algorithm>
#include <cstddef>

namespace gwt {

/// \brief How slowly a caller may send a body or take an answer.
///
/// Answers the pattern of callers that stall, or send or take a byte now and then, and so hold a
/// connection and its buffer for as long as they like: each pause is bounded, and the transfer as a
/// whole by a least rate.
class TransferPace
{
public:
    /// Bytes a second of the whole transfer: a tenth of what a poor mobile line carries, so that
    /// only a caller that holds back falls below it.
    static constexpr double s_leastRate = 1000;

    TransferPace(Duration longestPause, TimePoint now)
        : m_longestPause(longestPause)
        , m_start(now)
        , m_last(now)
    { }

    void record(std::size_t bytes, TimePoint now)
    {
        m_last = now;
        m_bytes += bytes;
    }
    /// \brief When the transfer is to be broken off, unless more bytes come.
    TimePoint expiry() const
    {
        const std::chrono::duration<double> earned(static_cast<double>(m_bytes) / s_leastRate);
        const TimePoint latest = m_start + std::chrono::duration_cast<Duration>(earned);
        return std::min(m_last, latest) + m_longestPause;
    }

private:
    Duration m_longestPause;
    TimePoint m_start;
    TimePoint m_last; ///< when bytes last moved
    std::size_t m_bytes = 0;
};

} // namespace gwt
