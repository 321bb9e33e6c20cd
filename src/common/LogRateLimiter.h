#pragma once

#include "common/Time.h"

namespace gwt {

/// \brief Limits the rate of log lines about requests.
///
/// Served and unserved requests have separate token buckets, so that a flood of served requests
/// never suppresses the log line of a failure. Does no I/O.
class LogRateLimiter
{
public:
    static constexpr double s_servedPerSecond = 40; ///< a sample shows what normal traffic is like
    static constexpr double s_unservedPerSecond = 400; ///< about 100 KB/s

    bool allowServed(TimePoint now) { return tryAcquire(m_served, s_servedPerSecond, now); }
    bool allowUnserved(TimePoint now) { return tryAcquire(m_unserved, s_unservedPerSecond, now); }

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint refilledAt;
    };

    static bool tryAcquire(Bucket &bucket, double perSecond, TimePoint now);

    Bucket m_served;
    Bucket m_unserved;
};

} // namespace gwt
