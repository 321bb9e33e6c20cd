#pragma once

#include "gateway/quota/QuotaGate.h"
#include "gateway/quota/QuotaRules.h"

#include <cstdint>
#include <map>
#include <string>

namespace gwt {

/// \brief Counts the requests of teams against their quotas, in one token bucket per team.
///
/// Handles a team that sends many times its usual rate: it gets its quota and no more, however its
/// requests are spread over the hosts. Does no I/O.
class QuotaLedger
{
public:
    /// \brief Buckets are empty at \a start and fill from then on: what a predecessor has granted
    /// is unknown.
    QuotaLedger(QuotaRules rules, TimePoint start);

    /// \brief Takes one request from the bucket of \a team, whose quota has been \a quota since
    /// \a configVersion. The quota of the highest version holds.
    ///
    /// A bucket that is empty because it has not had time to fill gives Unknown.
    QuotaDecision take(const std::string &team, const TeamQuota &quota, std::uint64_t configVersion,
                       TimePoint now);
    std::size_t size() const { return m_accounts.size(); }

private:
    struct Account
    {
        TeamQuota quota;
        std::uint64_t configVersion = 0;
        double level = 0; ///< requests that may be granted now
        TimePoint filledAt;
        double recent = 0; ///< requests of the current window, decaying
        double usual = 0; ///< requests per second, averaged over minutes
        TimePoint firstAt; ///< of the first request
        TimePoint countedAt; ///< of the last request
    };

    double capacityOf(const TeamQuota &quota) const;
    void fill(Account &account, TimePoint now) const;
    /// \brief Counts a request; returns the recent rate in relation to the usual one.
    double count(Account &account, TimePoint now) const;
    void dropIdle(TimePoint now);

    const QuotaRules m_rules;
    const TimePoint m_start;
    std::map<std::string, Account> m_accounts; ///< by name of the team
};

} // namespace gwt
