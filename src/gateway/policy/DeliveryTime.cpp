#include "gateway/policy/DeliveryTime.h"

namespace gwt {

void DeliveryTime::record(Duration lateness)
{
    const auto decayed = std::chrono::duration_cast<Duration>(m_peak * s_decay);
    m_peak = std::max(decayed, lateness);
}

} // namespace gwt
