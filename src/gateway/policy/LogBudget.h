#pragma once

#include "common/Time.h"

namespace gwt {

/// \brief Bounds the lines that are written about requests.
///
/// Served and unserved requests have budgets of their own, so that a flood of served ones never
/// takes the line of a failure; pure decision code.
class LogBudget
{
public:
    static constexpr double s_servedPerSecond = 40; ///< a few lines explain what calm looks like
    static constexpr double s_unservedPerSecond = 400; ///< about 100 KB/s

    bool takeServed(TimePoint now) { return take(m_served, s_servedPerSecond, now); }
    bool takeUnserved(TimePoint now) { return take(m_unserved, s_unservedPerSecond, now); }

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint filled;
    };

    static bool take(Bucket &bucket, double perSecond, TimePoint now);

    Bucket m_served;
    Bucket m_unserved;
};

} // namespace gwt
