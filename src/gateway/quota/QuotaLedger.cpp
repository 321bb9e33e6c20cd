#include "gateway/quota/QuotaLedger.h"

#include <algorithm>
#include <cmath>

namespace gwt {

namespace {

/// Far above the number of teams; beyond it, those without a recent request are dropped.
constexpr std::size_t maxAccounts = 10'000;
constexpr std::chrono::seconds usualRateSpan{60};
/// Requests per second. Below it a single request would already be many times the usual rate.
constexpr double minUsualRate = 1;

double secondsOf(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

QuotaLedger::QuotaLedger(QuotaRules rules, TimePoint predecessorEnd)
    : m_rules(rules)
    , m_predecessorEnd(predecessorEnd)
{ }

double QuotaLedger::limitOf(const TeamQuota &quota, TimePoint now) const
{
    const double tolerance = m_rules.toleranceOf(quota);
    if (now < m_predecessorEnd + m_rules.window)
        return successorToleranceShare * tolerance;
    return m_rules.requestsOf(quota) + ledgerToleranceShare * tolerance;
}

double QuotaLedger::countRequest(Account &account, TimePoint now) const
{
    const double elapsed = std::max(0.0, secondsOf(now - account.countedAt));
    const double window = secondsOf(m_rules.window);
    account.recent = account.recent * std::exp(-elapsed / window) + 1;
    // The mean of the time so far, until that exceeds the span of the mean.
    const double observed
        = std::clamp(secondsOf(now - account.firstAt), window, secondsOf(usualRateSpan));
    account.usual = account.usual * std::exp(-elapsed / observed) + 1 / observed;
    account.countedAt = now;
    return std::max(1.0, account.recent / window / std::max(account.usual, minUsualRate));
}

QuotaDecision QuotaLedger::take(const std::string &team, const TeamQuota &quota,
                                std::uint64_t configVersion, TimePoint now)
{
    Account &account = m_accounts.try_emplace(team, m_rules.window, now).first->second;
    if (configVersion >= account.configVersion) {
        account.quota = quota;
        account.configVersion = configVersion;
    }
    QuotaDecision decision;
    decision.excess = countRequest(account, now);
    const auto granted = static_cast<double>(account.granted.count(now));
    if (granted + 1 <= limitOf(account.quota, now))
        account.granted.add(now);
    else if (now < m_predecessorEnd + m_rules.window)
        decision.outcome = QuotaOutcome::Unknown;
    else
        decision.outcome = QuotaOutcome::OverLimit;
    if (m_accounts.size() > maxAccounts)
        dropIdle(now);
    return decision;
}

void QuotaLedger::dropIdle(TimePoint now)
{
    std::erase_if(m_accounts, [&](const auto &each) {
        return now - each.second.countedAt > 2 * m_rules.window;
    });
}

} // namespace gwt
