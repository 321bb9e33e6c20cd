#pragma once

#include "common/Time.h"

#include <algorithm>
#include <cstddef>

namespace gwt {

/// \brief Enforces a minimum rate on a caller that sends a body or reads an answer.
///
/// Callers that stall, or transfer a byte now and then, would otherwise hold a connection and its
/// buffer indefinitely. Each pause is limited, and so is the average rate of the whole transfer.
class TransferTimeout
{
public:
    /// Bytes per second averaged over the transfer: a tenth of a poor mobile connection, so that
    /// only a deliberately slow caller falls below it.
    static constexpr double s_minRate = 1000;

    TransferTimeout(Duration maxPause, TimePoint now)
        : m_maxPause(maxPause)
        , m_start(now)
        , m_lastTransfer(now)
    { }

    void record(std::size_t bytes, TimePoint now)
    {
        m_lastTransfer = now;
        m_bytes += bytes;
    }
    /// \brief Time at which the transfer is aborted unless more bytes are transferred.
    TimePoint expiry() const
    {
        const std::chrono::duration<double> allowedTime(static_cast<double>(m_bytes) / s_minRate);
        const TimePoint latest = m_start + std::chrono::duration_cast<Duration>(allowedTime);
        return std::min(m_lastTransfer, latest) + m_maxPause;
    }

private:
    Duration m_maxPause;
    TimePoint m_start;
    TimePoint m_lastTransfer; ///< of the last transferred bytes
    std::size_t m_bytes = 0;
};

} // namespace gwt
