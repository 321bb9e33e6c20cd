#pragma once

#include "gateway/quota/QuotaGate.h"
#include "gateway/quota/QuotaRules.h"
#include "gateway/quota/WindowCounter.h"

#include <cstdint>
#include <map>
#include <string>

namespace gwt {

/// \brief Counts the requests of teams against their quotas, each in a sliding window.
///
/// Handles a team that sends many times its usual rate: it gets its quota and no more, however its
/// requests are spread over the hosts. Does no I/O.
class QuotaLedger
{
public:
    /// \brief A predecessor may have granted requests until \a predecessorEnd. For a window after
    /// that, only a part of the tolerance is granted.
    QuotaLedger(QuotaRules rules, TimePoint predecessorEnd);

    /// \brief Takes one request from the quota of \a team, which has been \a quota since
    /// \a configVersion. The quota of the highest version holds.
    ///
    /// Unknown is returned for a request that the grants of the predecessor may leave no room for.
    QuotaDecision take(const std::string &team, const TeamQuota &quota, std::uint64_t configVersion,
                       TimePoint now);

private:
    struct Account
    {
        Account(Duration window, TimePoint now)
            : granted(window)
            , firstAt(now)
            , countedAt(now)
        { }

        TeamQuota quota;
        std::uint64_t configVersion = 0;
        WindowCounter granted;
        double recent = 0; ///< requests of about one window, decaying
        double usual = 0; ///< requests per second, averaged over a longer time
        TimePoint firstAt; ///< of the first request
        TimePoint countedAt; ///< of the last request
    };

    double limitOf(const TeamQuota &quota, TimePoint now) const;
    /// \brief Counts a request; returns the recent rate in relation to the usual one.
    double countRequest(Account &account, TimePoint now) const;
    void dropIdle(TimePoint now);

    const QuotaRules m_rules;
    const TimePoint m_predecessorEnd;
    std::map<std::string, Account> m_accounts; ///< by name of the team
};

} // namespace gwt
