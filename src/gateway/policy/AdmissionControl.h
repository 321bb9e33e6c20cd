#pragma once

#include "common/Time.h"

#include <optional>

namespace gwt {

/// \brief Decides which queries over one set of shards start and which are shed at once.
class AdmissionControl
{
public:
    virtual ~AdmissionControl() = default;

    /// \brief Returns true if a query of \a rank that takes \a work on each shard may start.
    ///
    /// Rank 0 is the most urgent. \a excess is the recent rate of the caller's team in relation to
    /// its usual rate; 1 or less has no effect.
    virtual bool admit(int rank, Duration work, double excess, TimePoint now) = 0;
    /// \brief The same for a caller whose excess is unknown.
    bool admit(int rank, Duration work, TimePoint now) { return admit(rank, work, 1, now); }
    /// \brief Records the pressure that a query of \a rank, admitted at \a admittedAt, measured.
    ///
    /// A pressure of 1 is the highest at which queries still meet their target. Empty if the caller
    /// left before the pressure could be measured. Called once for each admitted query.
    virtual void record(int rank, std::optional<double> pressure, TimePoint admittedAt,
                        TimePoint now)
        = 0;
    /// \brief Limit on the work admitted per second on each shard, in seconds; 0 without a limit.
    virtual double capacity() const = 0;
    bool isBounded() const { return capacity() > 0; }
};

/// \brief Baseline that admits every query.
class UnlimitedAdmission : public AdmissionControl
{
public:
    using AdmissionControl::admit;
    bool admit(int, Duration, double, TimePoint) override { return true; }
    void record(int, std::optional<double>, TimePoint, TimePoint) override { }
    double capacity() const override { return 0; }
};

} // namespace gwt
