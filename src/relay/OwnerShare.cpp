#include "relay/OwnerShare.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr int secondOwnerDivisor = 4;

int shareOf(OwnerRank owner, int limit, int second)
{
    if (owner == OwnerRank::None)
        return 0;
    return owner == OwnerRank::First ? limit - second : second;
}

} // namespace

int OwnerShare::slots(OwnerRank owner, int limit)
{
    return shareOf(owner, limit, limit / secondOwnerDivisor);
}

int OwnerShare::connections(OwnerRank owner, int limit, int slots)
{
    const int wanted = std::max(1, limit / secondOwnerDivisor);
    const int second = std::clamp(limit - OwnerShare::slots(OwnerRank::First, slots), 0, wanted);
    return shareOf(owner, limit, second);
}

} // namespace gwt
