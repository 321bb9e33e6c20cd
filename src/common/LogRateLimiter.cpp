#include "common/LogRateLimiter.h"

#include <algorithm>

namespace gwt {

bool LogRateLimiter::tryAcquire(Bucket &bucket, double perSecond, TimePoint now)
{
    const std::chrono::duration<double> passed = now - bucket.refilledAt;
    bucket.tokens = std::min(perSecond, bucket.tokens + passed.count() * perSecond);
    bucket.refilledAt = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

} // namespace gwt
