#pragma once

#include "gateway/routing/Route.h"

#include <map>
#include <set>

namespace gwt {

/// \brief Deals the requests of each route out to its services in proportion to their weights.
///
/// Smooth weighted round robin: shares are exact over any run of requests, not only on average.
class WeightedSplit
{
public:
    /// \brief The service of the next request of \a route. \pre the route names one at least
    const std::string &next(const Route &route);
    /// \brief Forgets what was learned of routes that \a routeNames does not hold.
    void retain(const std::set<std::string> &routeNames);

private:
    struct Credit
    {
        double weight = 0;
        double credit = 0;
    };

    std::map<std::string, std::map<std::string, Credit>> m_routes; ///< by route, by service
};

} // namespace gwt
