#include "relay/ConnectionLimiter.h"

namespace gwt {

ConnectionLimiter::Verdict ConnectionLimiter::tryOpen()
{
    if (m_count >= m_limit)
        return Verdict::AtLimit;
    if (m_opening >= s_maxOpening)
        return Verdict::Paced;
    ++m_count;
    ++m_opening;
    return Verdict::Open;
}

void ConnectionLimiter::failed()
{
    --m_opening;
    --m_count;
}

} // namespace gwt
