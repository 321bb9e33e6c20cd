#pragma once

#include "gateway/routing/Route.h"

#include <map>
#include <set>

namespace gwt {

/// \brief Splits the requests of each route over its services in proportion to their weights.
///
/// Smooth weighted round robin: shares are exact over any run of requests, not only on average.
class WeightedSplit
{
public:
    /// \brief Returns the service for the next request of \a route. \pre the route has a service
    const std::string &next(const Route &route);
    /// \brief Drops the state of routes that are not in \a routeNames.
    void retain(const std::set<std::string> &routeNames);

private:
    struct Credit
    {
        double weight = 0;
        double credit = 0;
    };

    std::map<std::string, std::map<std::string, Credit>> m_creditsByRoute; ///< by route, by service
};

} // namespace gwt
