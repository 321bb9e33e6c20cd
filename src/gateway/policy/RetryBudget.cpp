#include "gateway/policy/RetryBudget.h"

#include <algorithm>

namespace gwt {

RetryBudget::RetryBudget(RetryBudgetRules rules)
    : m_rules(rules)
{ }

void RetryBudget::setRules(RetryBudgetRules rules)
{
    if (rules.window != m_rules.window)
        m_slices = {};
    m_rules = rules;
}

std::int64_t RetryBudget::sliceNumber(TimePoint now) const
{
    const Duration width = Duration(m_rules.window) / static_cast<int>(s_slices - 1);
    return now.time_since_epoch() / width;
}

RetryBudget::Slice &RetryBudget::currentSlice(TimePoint now)
{
    const std::int64_t number = sliceNumber(now);
    Slice &slice = m_slices[static_cast<std::size_t>(number) % s_slices];
    if (slice.number != number) {
        slice = {};
        slice.number = number;
    }
    return slice;
}

void RetryBudget::recordFirstSend(TimePoint now)
{
    ++currentSlice(now).firstSends;
}

RetryBudget::Usage RetryBudget::usage(TimePoint now, int fleetSize) const
{
    const std::int64_t newest = sliceNumber(now);
    Usage usage;
    double firstSends = 0;
    double requested = 0;
    double recentlyRequested = 0;
    for (const Slice &each : m_slices) {
        if (each.number + static_cast<std::int64_t>(s_slices) <= newest)
            continue;
        firstSends += each.firstSends;
        usage.hedges += each.hedges;
        usage.retries += each.retries;
        requested += each.requestedRetries;
        if (each.number + s_recentSlices >= newest)
            recentlyRequested += each.requestedRetries;
    }
    usage.allowed
        = s_usableShare * (m_rules.ratio * firstSends + m_rules.extra / std::max(1, fleetSize));
    // The current slice is half over on average.
    const double recentWindows = (s_recentSlices + 0.5) / static_cast<double>(s_slices - 1);
    usage.expectedRetries = std::max(requested, recentlyRequested / recentWindows);
    return usage;
}

bool RetryBudget::tryAcquire(RetryKind kind, TimePoint now, int fleetSize)
{
    Slice &slice = currentSlice(now);
    if (kind == RetryKind::AfterFailure)
        ++slice.requestedRetries;
    const Usage used = usage(now, fleetSize);
    if (used.hedges + used.retries + 1 > used.allowed)
        return false;
    if (kind == RetryKind::AfterFailure) {
        ++slice.retries;
        return true;
    }
    const bool isSplit = m_rules.hedgeShare < 1 && used.allowed >= m_rules.minBudgetToSplit;
    const bool leavesRoom
        = used.hedges + used.expectedRetries + 1 <= m_rules.hedgeShare * used.allowed;
    if (isSplit && !leavesRoom)
        return false;
    ++slice.hedges;
    return true;
}

} // namespace gwt
