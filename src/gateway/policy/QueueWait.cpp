#include "gateway/policy/QueueWait.h"

#include <algorithm>

namespace gwt {

Duration expectedWait(const QueueAhead &ahead, Duration requestTime)
{
    const auto connections = static_cast<std::size_t>(std::max(1, ahead.connections));
    const std::size_t rounds
        = (static_cast<std::size_t>(ahead.inFlight) + ahead.queued) / connections;
    return requestTime * static_cast<std::int64_t>(rounds);
}

} // namespace gwt
