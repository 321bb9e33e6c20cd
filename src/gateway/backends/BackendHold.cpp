#include "gateway/backends/BackendHold.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace gwt {

const char *toString(HoldReason reason)
{
    switch (reason) {
    case HoldReason::None:
        return "none";
    case HoldReason::Leaving:
        return "leaving";
    case HoldReason::Shedding:
        return "shedding";
    }
    return "";
}

BackendHold::BackendHold(HoldRules rules)
    : m_rules(rules)
{ }

void BackendHold::recordPause(Duration pause, double jitter, TimePoint now)
{
    const Duration bounded = std::min(pause, m_rules.maxPause);
    const Duration spread = std::min(std::chrono::duration_cast<Duration>(bounded * m_rules.spread),
                                     m_rules.maxSpread);
    const auto extra = std::chrono::duration_cast<Duration>(spread * std::clamp(jitter, 0.0, 1.0));
    m_pausedUntil = std::max(m_pausedUntil, now + bounded + extra);
    m_isOnTrial = true;
}

void BackendHold::recordServed(TimePoint sentAt)
{
    if (sentAt >= m_pausedUntil)
        m_isOnTrial = false;
}

void BackendHold::merge(const BackendHold &other)
{
    m_isLeaving = m_isLeaving || other.m_isLeaving;
    m_isOnTrial = m_isOnTrial || other.m_isOnTrial;
    m_pausedUntil = std::max(m_pausedUntil, other.m_pausedUntil);
}

HoldReason BackendHold::reason(TimePoint now) const
{
    if (m_isLeaving)
        return HoldReason::Leaving;
    return now < m_pausedUntil ? HoldReason::Shedding : HoldReason::None;
}

bool BackendHold::mayReceive(int inFlight, TimePoint now) const
{
    return !isActive(now) && (!m_isOnTrial || inFlight == 0);
}

std::optional<Duration> parseRetryAfter(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    constexpr double maxSeconds = 86'400;
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return std::nullopt;
    text = text.substr(first, text.find_last_not_of(blanks) - first + 1);
    double seconds = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), seconds,
                                             std::chars_format::fixed);
    const bool isTooLarge = code == std::errc::result_out_of_range && text.front() != '-'
        && text.front() != '0' && text.front() != '.';
    if (isTooLarge)
        seconds = maxSeconds;
    else if (code != std::errc())
        return std::nullopt;
    if (end != text.data() + text.size() || !std::isfinite(seconds) || std::signbit(seconds))
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(seconds, maxSeconds)));
}

} // namespace gwt
