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

RetryBudget::Slice &RetryBudget::current(TimePoint now)
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
    ++current(now).firsts;
}

RetryBudget::Usage RetryBudget::usage(TimePoint now, int fleetSize) const
{
    const std::int64_t newest = sliceNumber(now);
    Usage usage;
    double firsts = 0;
    double wanted = 0;
    double recentlyWanted = 0;
    for (const Slice &each : m_slices) {
        if (each.number + static_cast<std::int64_t>(s_slices) <= newest)
            continue;
        firsts += each.firsts;
        usage.hedges += each.hedges;
        usage.repairs += each.repairs;
        wanted += each.wantedRepairs;
        if (each.number + s_recentSlices >= newest)
            recentlyWanted += each.wantedRepairs;
    }
    usage.allowed = s_usedShare * (m_rules.ratio * firsts + m_rules.extra / std::max(1, fleetSize));
    // The current slice is half over on average.
    const double recentWindows = (s_recentSlices + 0.5) / static_cast<double>(s_slices - 1);
    usage.expectedRepairs = std::max(wanted, recentlyWanted / recentWindows);
    return usage;
}

bool RetryBudget::take(RetryKind kind, TimePoint now, int fleetSize)
{
    Slice &slice = current(now);
    if (kind == RetryKind::AfterFailure)
        ++slice.wantedRepairs;
    const Usage used = usage(now, fleetSize);
    if (used.hedges + used.repairs + 1 > used.allowed)
        return false;
    if (kind == RetryKind::AfterFailure) {
        ++slice.repairs;
        return true;
    }
    const bool isSplit = m_rules.hedgeShare < 1 && used.allowed >= m_rules.leastToSplit;
    const bool leavesRoom
        = used.hedges + used.expectedRepairs + 1 <= m_rules.hedgeShare * used.allowed;
    if (isSplit && !leavesRoom)
        return false;
    ++slice.hedges;
    return true;
}

} // namespace gwt
