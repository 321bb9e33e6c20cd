#include "relay/ConnectionLimiter.h"

namespace gwt {

ConnectionLimiter::Decision ConnectionLimiter::tryOpen()
{
    if (m_count >= m_limit)
        return Decision::AtLimit;
    if (m_opening >= s_maxOpening)
        return Decision::AtOpeningLimit;
    ++m_count;
    ++m_opening;
    return Decision::Open;
}

void ConnectionLimiter::recordFailed()
{
    --m_opening;
    --m_count;
}

} // namespace gwt
