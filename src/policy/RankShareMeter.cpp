#include "policy/RankShareMeter.h"

#include <algorithm>
#include <cmath>

namespace gwt {

RankShareMeter::RankShareMeter(Duration window)
    : m_window(window)
{ }

double RankShareMeter::decay(Duration elapsed) const
{
    const double elapsedWindows = std::chrono::duration<double>(elapsed).count()
        / std::chrono::duration<double>(m_window).count();
    return std::exp(-std::max(0.0, elapsedWindows));
}

void RankShareMeter::add(const std::string &index, const std::string &rank, TimePoint now)
{
    IndexShares &shares = m_indexes[index];
    const double factor = decay(now - shares.updatedAt);
    shares.updatedAt = now;
    shares.total = shares.total * factor + 1;
    for (auto &[name, count] : shares.byRank)
        count *= factor;
    shares.byRank[rank] += 1;
}

double RankShareMeter::shareOf(const std::string &index, const std::string &rank) const
{
    const auto shares = m_indexes.find(index);
    if (shares == m_indexes.end() || shares->second.total <= 0)
        return 1;
    const auto count = shares->second.byRank.find(rank);
    return count == shares->second.byRank.end() ? 0 : count->second / shares->second.total;
}

double RankShareMeter::rateOf(const std::string &index, const std::string &rank,
                              TimePoint now) const
{
    const auto shares = m_indexes.find(index);
    if (shares == m_indexes.end())
        return 0;
    const auto count = shares->second.byRank.find(rank);
    if (count == shares->second.byRank.end())
        return 0;
    return count->second * decay(now - shares->second.updatedAt)
        / std::chrono::duration<double>(m_window).count();
}

} // namespace gwt
