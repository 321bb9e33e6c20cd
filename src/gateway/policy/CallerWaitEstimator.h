#pragma once

#include "common/Time.h"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace gwt {

/// \brief Estimates how long a caller has waited before this request, to recognize retries.
///
/// Most callers of one route use the same timeout, and a retry allows what is left of it. A few
/// callers with a longer timeout than the others are ignored. Does no I/O.
class CallerWaitEstimator
{
public:
    /// \brief Records that a caller of \a route allows \a allowed and returns how long it has
    /// probably waited before; zero for a first try.
    Duration waitedBefore(const std::string &route, Milliseconds allowed);
    /// \brief Removes the samples of routes that \a routeNames does not contain.
    void retain(const std::set<std::string> &routeNames);

private:
    /// Window of requests from which the usual timeout of a route is estimated: one or two seconds
    /// of normal traffic.
    static constexpr std::size_t s_maxSamples = 64;
    /// Share of the requests whose timeout is the usual one or longer. It is small because after an
    /// outage most requests are retries, and above 1/25 because one caller in twenty-five uses a
    /// longer timeout than the others.
    static constexpr double s_usualTimeoutShare = 0.125;

    std::map<std::string, std::deque<Milliseconds>> m_timeouts; ///< by route, newest last
};

} // namespace gwt
