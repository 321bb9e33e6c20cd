#pragma once

#include "common/Time.h"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace gwt {

/// \brief Tells callers that come back after a failed try from those that come for the first time.
///
/// Callers of one route mostly allow the same time, and one that comes back allows what is left of
/// it. A few callers that are more patient than the others do not count. Pure decision code.
class CallerPatience
{
public:
    /// \brief How long a caller of \a route that allows \a allowed has probably been waiting.
    Duration waitedBefore(const std::string &route, Milliseconds allowed);
    /// \brief Forgets what was learned of routes that \a routeNames does not hold.
    void retain(const std::set<std::string> &routeNames);

private:
    /// Requests by which the usual time of a route is known: a second or two of calm traffic.
    static constexpr std::size_t s_samples = 64;
    /// Share of the callers that allow the usual time or more. After an outage most of them come
    /// back; on the other hand one in twenty-five is more patient than the others.
    static constexpr double s_usualShare = 0.125;

    std::map<std::string, std::deque<Milliseconds>> m_allowed; ///< by route, newest last
};

} // namespace gwt
