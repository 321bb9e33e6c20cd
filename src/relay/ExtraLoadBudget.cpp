#include "relay/ExtraLoadBudget.h"

#include <algorithm>

namespace gwt {

ExtraLoadBudget::ExtraLoadBudget(double share, double burst)
    : m_share(share)
    , m_burst(burst)
    , m_tokens(share > 0 ? s_initialTokens : 0)
{ }

void ExtraLoadBudget::recordFirstAttempt()
{
    m_tokens = std::min(m_tokens + m_share, m_burst);
}

bool ExtraLoadBudget::tryAcquire()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

void ExtraLoadBudget::refund()
{
    m_tokens = std::min(m_tokens + 1, m_burst);
}

} // namespace gwt
