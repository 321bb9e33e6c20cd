#pragma once

#include "common/Time.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

namespace gwt {

/// \brief Counts events within a sliding window, in slots of a fixed part of it.
///
/// Never counts too few: an event leaves the count up to one slot late.
class WindowCounter
{
public:
    explicit WindowCounter(Duration window)
        : m_slotLength(std::max<Duration>(window / s_slotsPerWindow, Duration(1)))
    { }

    void add(TimePoint now)
    {
        advance(now);
        ++m_counts[indexOf(m_slot)];
        ++m_total;
    }
    /// \brief Number of events in the window that ends at \a now.
    std::uint64_t count(TimePoint now)
    {
        advance(now);
        return m_total;
    }

private:
    static constexpr std::int64_t s_slotsPerWindow = 50;
    static constexpr std::int64_t s_slots = s_slotsPerWindow + 1; ///< the oldest one in part

    static std::size_t indexOf(std::int64_t slot)
    {
        return static_cast<std::size_t>(slot % s_slots);
    }
    void advance(TimePoint now)
    {
        const std::int64_t slot = now.time_since_epoch() / m_slotLength;
        const std::int64_t first = std::max(m_slot + 1, slot - s_slots + 1);
        for (std::int64_t i = first; i <= slot; ++i)
            m_total -= std::exchange(m_counts[indexOf(i)], 0);
        m_slot = std::max(m_slot, slot);
    }

    Duration m_slotLength;
    std::array<std::uint32_t, s_slots> m_counts{};
    std::int64_t m_slot = 0; ///< newest one
    std::uint64_t m_total = 0;
};

} // namespace gwt
