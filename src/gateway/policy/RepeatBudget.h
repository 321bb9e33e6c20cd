#pragma once

#include "common/Time.h"

#include <array>
#include <cstdint>

namespace gwt {

/// \brief What the fleet allows of repeated sends to one service.
struct RepeatBudgetRules
{
    double ratio = 0.1; ///< repeats for each first send
    double extra = 0; ///< repeats beyond the ratio, of the whole fleet
    std::chrono::seconds window{10};
};

/// \brief Bounds the sends of this process to one service beyond the first of each request.
///
/// The ratio holds for each process by itself, so that it holds for their sum; of the extra each
/// process takes an equal share. Sliding window, counted in slices of a tenth of it.
class RepeatBudget
{
public:
    explicit RepeatBudget(RepeatBudgetRules rules);

    void countFirst(TimePoint now);
    /// \brief Takes one repeat if the budget has room, with \a fleetSize processes sharing it.
    bool take(TimePoint now, int fleetSize);

private:
    static constexpr std::size_t s_slices = 11; ///< the window and the slice in progress
    /// Part of the allowance that is used: the other processes' clocks cut the window elsewhere.
    static constexpr double s_usedShare = 0.85;

    struct Slice
    {
        std::int64_t number = -1;
        std::uint32_t firsts = 0;
        std::uint32_t repeats = 0;
    };

    Slice &current(TimePoint now);

    RepeatBudgetRules m_rules;
    std::array<Slice, s_slices> m_slices{};
};

} // namespace gwt
