#include "gateway/forwarding/RetryAfter.h"

namespace gwt {

Milliseconds adviseRetryAfter(ForwardingContext &context, const RequestPlan &plan,
                              const std::vector<std::string> &services, std::size_t needed,
                              TimePoint now)
{
    const Milliseconds overload
        = context.admission.retryAfter(*plan.route, plan.rank, plan.deadline - now, now);
    const auto holdEnd = context.backends.nextHoldEnd(services, needed, now);
    if (!holdEnd)
        return overload;
    // The jitter in the backoff for overload spreads the callers out.
    return std::chrono::ceil<Milliseconds>(*holdEnd - now) + overload;
}

} // namespace gwt
