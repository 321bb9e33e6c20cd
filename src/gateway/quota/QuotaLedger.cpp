#include "gateway/quota/QuotaLedger.h"

#include <algorithm>
#include <cmath>

namespace gwt {

namespace {

/// Far above the number of teams; beyond it, those without a recent request are dropped.
constexpr std::size_t maxAccounts = 10'000;
constexpr std::chrono::seconds usualRateSpan{60};
/// Below this rate a single request would already be many times the usual.
constexpr double minUsualRate = 1;

double secondsOf(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

QuotaLedger::QuotaLedger(QuotaRules rules, TimePoint start)
    : m_rules(rules)
    , m_start(start)
{ }

double QuotaLedger::capacityOf(const TeamQuota &quota) const
{
    return std::max(1.0, quota.burst);
}

void QuotaLedger::fill(Account &account, TimePoint now) const
{
    const double gained = account.quota.ratePerSecond * secondsOf(now - account.filledAt);
    account.level = std::min(account.level + std::max(0.0, gained), capacityOf(account.quota));
    account.filledAt = std::max(account.filledAt, now);
}

double QuotaLedger::count(Account &account, TimePoint now) const
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
    const auto [position, isNew] = m_accounts.try_emplace(team);
    Account &account = position->second;
    if (isNew) {
        account.filledAt = m_start;
        account.firstAt = now;
        account.countedAt = now;
    }
    if (isNew || configVersion >= account.configVersion) {
        account.quota = quota;
        account.configVersion = configVersion;
    }
    fill(account, now);
    QuotaDecision decision;
    decision.excess = count(account, now);
    if (account.level >= 1) {
        account.level -= 1;
    } else {
        const bool hadTime = now >= m_start + m_rules.window;
        decision.outcome = hadTime ? QuotaOutcome::OverLimit : QuotaOutcome::Unknown;
    }
    if (m_accounts.size() > maxAccounts)
        dropIdle(now);
    return decision;
}

void QuotaLedger::dropIdle(TimePoint now)
{
    // A new account counts as filled since the start, so only full ones may be dropped.
    for (auto account = m_accounts.begin(); account != m_accounts.end();) {
        fill(account->second, now);
        const bool isFull = account->second.level >= capacityOf(account->second.quota);
        account = isFull ? m_accounts.erase(account) : std::next(account);
    }
}

} // namespace gwt
