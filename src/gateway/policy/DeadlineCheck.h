#pragma once

#include "gateway/policy/HedgeTimer.h"
#include "gateway/routing/Route.h"

#include <map>
#include <set>
#include <string>

namespace gwt {

/// \brief Recognizes queries whose caller leaves too little time for an answer.
///
/// Handles callers that have waited before and return with what is left of their time: such a query
/// would only take capacity from others. Nothing is refused while latencies are unknown, and a
/// query that has its whole target left never is. Does no I/O.
class DeadlineCheck
{
public:
    /// \brief \a hedges, which must outlive this object, knows the latencies of the routes.
    explicit DeadlineCheck(const HedgeTimer &hedges);

    /// \brief Records that a shard has answered a query of \a route at \a now.
    void recordAnswer(const std::string &route, TimePoint now);
    /// \brief Returns true if a query of \a route that has \a timeLeft cannot expect its minimum
    /// coverage in time.
    bool isTooLate(const Route &route, Duration timeLeft, TimePoint now) const;
    /// \brief Removes the state of routes that \a routeNames does not contain.
    void retain(const std::set<std::string> &routeNames);

private:
    const HedgeTimer &m_hedges;
    std::map<std::string, TimePoint> m_lastAnswers; ///< by route
};

} // namespace gwt
