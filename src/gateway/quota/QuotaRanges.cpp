#include "gateway/quota/QuotaRanges.h"

#include <xxhash.h>

namespace gwt {

std::size_t quotaRangeOf(std::string_view team)
{
    return XXH64(team.data(), team.size(), 0) % quotaRangeCount;
}

std::string quotaLeaseName(std::size_t range)
{
    return "quota-" + std::to_string(range);
}

} // namespace gwt
