#include "gateway/policy/RepeatBudget.h"

namespace gwt {

RepeatBudget::RepeatBudget(RepeatBudgetRules rules)
    : m_rules(rules)
{ }

RepeatBudget::Slice &RepeatBudget::current(TimePoint now)
{
    const Duration width = Duration(m_rules.window) / static_cast<int>(s_slices - 1);
    const std::int64_t number = now.time_since_epoch() / width;
    Slice &slice = m_slices[static_cast<std::size_t>(number) % s_slices];
    if (slice.number != number)
        slice = {number, 0, 0};
    return slice;
}

void RepeatBudget::countFirst(TimePoint now)
{
    ++current(now).firsts;
}

bool RepeatBudget::take(TimePoint now, int fleetSize)
{
    Slice &slice = current(now);
    double firsts = 0;
    double repeats = 0;
    for (const Slice &each : m_slices) {
        if (each.number + static_cast<std::int64_t>(s_slices) <= slice.number)
            continue;
        firsts += each.firsts;
        repeats += each.repeats;
    }
    const double allowed
        = s_usedShare * (m_rules.ratio * firsts + m_rules.extra / std::max(1, fleetSize));
    if (repeats + 1 > allowed)
        return false;
    ++slice.repeats;
    return true;
}

} // namespace gwt
