#pragma once

#include "common/Time.h"

#include <optional>

namespace gwt {

/// \brief Decides which queries over one set of shards start and which are refused at once.
class AdmissionControl
{
public:
    virtual ~AdmissionControl() = default;

    /// \brief True if a query of \a rank that takes \a work of each shard may start.
    ///
    /// Rank 0 is the most urgent.
    virtual bool admit(int rank, Duration work, TimePoint now) = 0;
    /// \brief A query of \a rank that was admitted at \a admittedAt has shown how hard the shards
    /// are pressed: 1 is the most that lets queries make their target. None: its caller left before
    /// it could.
    ///
    /// Called once for each admitted query.
    virtual void record(int rank, std::optional<double> pressure, TimePoint admittedAt,
                        TimePoint now)
        = 0;
    /// \brief Work that is admitted in a second, of each shard, in seconds; 0: without a bound.
    virtual double capacity() const = 0;
    bool isBounded() const { return capacity() > 0; }
};

/// \brief Baseline: every query starts.
class OpenAdmissionControl : public AdmissionControl
{
public:
    bool admit(int, Duration, TimePoint) override { return true; }
    void record(int, std::optional<double>, TimePoint, TimePoint) override { }
    double capacity() const override { return 0; }
};

} // namespace gwt
