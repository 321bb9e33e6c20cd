#include "http/HostLimits.h"

#include <limits>

#include <sys/resource.h>

namespace gwt {

HostLimits HostLimits::withinSystem() const
{
    HostLimits limits = *this;
    rlimit allowed{};
    if (::getrlimit(RLIMIT_NOFILE, &allowed) == 0 && allowed.rlim_cur != RLIM_INFINITY) {
        const int most
            = static_cast<int>(std::min<rlim_t>(allowed.rlim_cur, std::numeric_limits<int>::max()));
        limits.maxFds = maxFds == 0 ? most : std::min(maxFds, most);
    }
    return limits;
}

} // namespace gwt
