#pragma once

#include "common/Metrics.h"
#include "gateway/quota/LeaseKeeper.h"
#include "gateway/quota/QuotaRanges.h"

#include <array>
#include <string>

namespace gwt {

/// \brief Logs and counts what happens to the leases of the ranges of teams, as this process sees
/// it.
class LeaseLog
{
public:
    explicit LeaseLog(Metrics &metrics);

    /// \brief Reports the holder of \a range if it has changed.
    void recordHolder(std::size_t range, const LeaseKeeper &keeper);
    /// \brief Reports if this process has begun or ceased to grant in \a range.
    void recordGrantState(std::size_t range, GrantState state);
    /// \brief Reports that this process has taken the lease of \a range. \pre keeper.grantsFrom()
    void recordTakeover(std::size_t range, const LeaseKeeper &keeper, TimePoint now);
    void recordMissed(std::size_t range, const std::string &reason);
    /// \brief Reports the result of a change of voters.
    void recordRenewal(std::size_t range, const LeaseKeeper &keeper, const std::string &outcome);

private:
    Metrics &m_metrics;
    std::array<std::string, quotaRangeCount> m_holders;
    std::array<GrantState, quotaRangeCount> m_states{};
};

} // namespace gwt
