#pragma once

#include "common/Time.h"

#include <map>
#include <string>

namespace gwt {

/// \brief Measures the recent share of each rank in the admitted work of an index; does no I/O.
///
/// Counts decay exponentially, so that old admissions weigh less than new ones.
class RankShareMeter
{
public:
    /// \brief \a window is the time constant of the decay.
    explicit RankShareMeter(Duration window);

    void add(const std::string &index, const std::string &rank, TimePoint now);
    /// \brief Share of \a rank in the recent admissions of \a index; 1 if there are none.
    double shareOf(const std::string &index, const std::string &rank) const;
    /// \brief Recent admissions of \a rank per second.
    double rateOf(const std::string &index, const std::string &rank, TimePoint now) const;

private:
    struct IndexShares
    {
        TimePoint updatedAt;
        double total = 0;
        std::map<std::string, double> byRank;
    };

    double decay(Duration elapsed) const;

    Duration m_window;
    std::map<std::string, IndexShares> m_indexes;
};

} // namespace gwt
