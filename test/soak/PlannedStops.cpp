#include "PlannedStops.h"

namespace gwt::test {

namespace {

constexpr Milliseconds longestRepeatTime{5500}; ///< from a stop signal to its repetition
constexpr Milliseconds shortestGap{300}; ///< between two stops in series
constexpr Milliseconds longestGap{2000};

} // namespace

PlannedStops::PlannedStops(TimerQueue &timers, RandomEngine &random,
                           const std::vector<std::unique_ptr<SoakGateway>> &gateways)
    : m_timers(timers)
    , m_random(random)
    , m_gateways(gateways)
{ }

Milliseconds PlannedStops::randomTime(Milliseconds shortest, Milliseconds longest)
{
    const auto choices = static_cast<std::uint64_t>((longest - shortest).count()) + 1;
    return shortest + Milliseconds(static_cast<std::int64_t>(m_random() % choices));
}

void PlannedStops::stopOneTwice()
{
    SoakGateway &gateway = *m_gateways[m_random() % m_gateways.size()];
    const int start = gateway.starts();
    gateway.stop();
    for (const int number : {SIGTERM, SIGINT}) {
        m_timers.after(randomTime(Milliseconds(0), longestRepeatTime), [&gateway, start, number] {
            if (gateway.starts() == start)
                gateway.stop(number);
        });
    }
}

void PlannedStops::stopAllInSeries()
{
    if (!m_isStoppingInSeries)
        stopInSeries(0);
}

void PlannedStops::stopInSeries(std::size_t number)
{
    m_isStoppingInSeries = !m_hasEnded && number < m_gateways.size();
    if (!m_isStoppingInSeries)
        return;
    m_gateways[number]->stop();
    m_timers.after(randomTime(shortestGap, longestGap),
                   [this, number] { stopInSeries(number + 1); });
}

} // namespace gwt::test
