#pragma once

#include "common/Time.h"

#include <array>
#include <cstdint>

namespace gwt {

/// \brief Reason for sending a request again.
enum class RetryKind {
    Hedge, ///< the first send is late, and a second one may answer earlier
    AfterFailure ///< the last send failed or was refused; without a retry there is no answer
};

/// \brief Limits of the whole fleet on hedges and retries to one service.
struct RetryBudgetRules
{
    double ratio = 0.1; ///< hedges and retries per first send
    double extra = 0; ///< hedges and retries beyond the ratio, for the whole fleet
    Milliseconds window{10'000};
    /// Share of the budget that hedges may use; docs/POLICY.md has the trials. 1 is the baseline
    /// that doesn't tell hedges from retries.
    double hedgeShare = 0.6;
    /// Smallest budget per window that is split. The shares of a smaller one are one or two sends,
    /// and the demand for retries can't be estimated from single ones.
    double minBudgetToSplit = 10;
};

/// \brief Retry budget: limits the hedges and retries of this process to one service.
///
/// Each process keeps the ratio by itself, so the whole fleet keeps it too. Each process takes an
/// equal part of the extra. The window slides in slices of a tenth of it.
///
/// Handles servers that refuse part of their requests while others are slow: a hedge only makes an
/// answer earlier, while a retry decides whether there is one. So hedges leave a part of the budget
/// and the expected demand for retries unused.
class RetryBudget
{
public:
    /// \brief Use of the budget within the window.
    struct Usage
    {
        double allowed = 0;
        double hedges = 0;
        double retries = 0;
        double expectedRetries = 0; ///< per window, extrapolated from the recent rate
    };

    explicit RetryBudget(RetryBudgetRules rules);

    /// \brief Applies new rules. The counts of the window are kept unless its length changes.
    void setRules(RetryBudgetRules rules);
    void recordFirstSend(TimePoint now);
    /// \brief Takes one send from the budget that \a fleetSize processes share; returns false if it
    /// is exhausted.
    bool tryAcquire(RetryKind kind, TimePoint now, int fleetSize);
    Usage usage(TimePoint now, int fleetSize) const;

private:
    static constexpr std::size_t s_slices = 11; ///< those of the window and the current one
    /// Share of the budget that is used; the rest is a margin because the windows of the processes
    /// are not aligned.
    static constexpr double s_usableShare = 0.85;
    /// Complete slices from which the demand for retries is extrapolated: two seconds, in which a
    /// process at the present sites sees a few dozen requests to a service.
    static constexpr int s_recentSlices = 2;

    struct Slice
    {
        std::int64_t number = -1;
        std::uint32_t firstSends = 0;
        std::uint32_t hedges = 0;
        std::uint32_t retries = 0;
        std::uint32_t requestedRetries = 0; ///< requested, whether granted or not
    };

    std::int64_t sliceNumber(TimePoint now) const;
    Slice &currentSlice(TimePoint now);

    RetryBudgetRules m_rules;
    std::array<Slice, s_slices> m_slices{};
};

} // namespace gwt
