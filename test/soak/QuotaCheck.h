#pragma once

#include "common/Time.h"

#include <map>
#include <string>
#include <vector>

namespace gwt::test {

/// \brief Checks, from what backend servers execute, that a team never exceeds its quota.
class QuotaCheck
{
public:
    static constexpr double s_ratePerSecond = 19; ///< of the team, which is its burst, too
    static constexpr std::chrono::seconds s_window{5}; ///< these are in the gateways' settings
    static constexpr double s_overage = 0.1;
    static constexpr double s_slack = 20;

    void recordSent(const std::string &id) { m_requests[id].sentAt = Clock::now(); }
    /// \brief A backend server executes request \a id.
    void recordExecution(const std::string &id);
    /// \brief The largest number of requests sent and executed within any window.
    std::size_t mostInAWindow() const;
    static double allowedInAWindow();
    /// \brief Requests executed since \a time.
    std::size_t executedSince(TimePoint time) const;

private:
    struct Request
    {
        TimePoint sentAt;
        TimePoint executedAt = TimePoint::max(); ///< for the first time
    };

    std::map<std::string, Request> m_requests; ///< by id
};

} // namespace gwt::test
