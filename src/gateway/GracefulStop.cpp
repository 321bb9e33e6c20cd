#include "gateway/GracefulStop.h"

#include "common/Log.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr Milliseconds pollInterval{50};

std::int64_t elapsedMilliseconds(TimePoint since)
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - since).count();
}

} // namespace

const char *toString(StopStage stage)
{
    switch (stage) {
    case StopStage::Serving:
        return "serving";
    case StopStage::Announcing:
        return "announcing";
    case StopStage::ClosingIdle:
        return "closing_idle";
    case StopStage::Finishing:
        return "finishing";
    case StopStage::EndingRequests:
        return "ending_requests";
    case StopStage::Ended:
        return "ended";
    }
    return "";
}

/// One transition from each stage, beginning with Announcing. EndingRequests is skipped if all
/// requests finish before.
const std::array<GracefulStop::Transition, 4> GracefulStop::s_transitions{{
    {StopStage::ClosingIdle, &StopSchedule::closeIdle, StopStage::Ended, &GracefulStop::closeIdle},
    {StopStage::Finishing, &StopSchedule::closeListener, StopStage::ClosingIdle,
     &GracefulStop::closeListener},
    {StopStage::EndingRequests, &StopSchedule::endRequests, StopStage::Ended,
     &GracefulStop::endRequests},
    {StopStage::Ended, &StopSchedule::exit, StopStage::Finishing, &GracefulStop::end},
}};

GracefulStop::GracefulStop(TimerQueue &timers, GatewayCore &core, CallerServer &callers,
                           Milliseconds announceTime, Milliseconds limit,
                           std::function<void()> onEnded)
    : m_timers(timers)
    , m_core(core)
    , m_callers(callers)
    , m_announceTime(announceTime)
    , m_limit(limit)
    , m_onEnded(std::move(onEnded))
{ }

void GracefulStop::begin()
{
    if (hasBegun())
        return;
    m_stage = StopStage::Announcing;
    m_begunAt = Clock::now();
    applySchedule();
    logInfo("stopping",
            {{"connections", m_callers.connections()},
             {"open_requests", m_callers.openRequests().size()}});
    m_callers.drain();
    poll();
}

void GracefulStop::setLimit(Milliseconds limit)
{
    m_limit = limit;
    if (hasBegun())
        applySchedule();
}

void GracefulStop::applySchedule()
{
    m_schedule = StopSchedule::within(m_limit, m_announceTime);
    m_core.setStopTime(m_begunAt + m_schedule.endRequests);
}

void GracefulStop::poll()
{
    if (m_stage != StopStage::Announcing)
        m_callers.closeIdle();
    // One transition a poll: if several are overdue after a stall, what one of them has read or
    // accepted is handled before the next.
    const auto due = std::find_if(s_transitions.begin(), s_transitions.end(),
                                  [this](const Transition &each) { return isDue(each); });
    if (due != s_transitions.end())
        enter(*due);
    if (m_stage != StopStage::Ended)
        m_timers.after(pollInterval, [this] { poll(); });
}

bool GracefulStop::isDue(const Transition &transition)
{
    if (transition.next <= m_stage)
        return false;
    if (Clock::now() - m_begunAt >= m_schedule.*transition.latest)
        return true;
    return m_stage >= transition.drainedFrom && m_callers.isDrained();
}

void GracefulStop::enter(const Transition &transition)
{
    m_stage = transition.next;
    logInfo("stop_stage",
            {{"stage", toString(m_stage)},
             {"connections", m_callers.connections()},
             {"open_requests", m_callers.openRequests().size()},
             {"elapsed_ms", elapsedMilliseconds(m_begunAt)}});
    (this->*transition.action)();
}

void GracefulStop::end()
{
    const std::vector<OpenRequest> cut = m_callers.openRequests();
    for (const OpenRequest &request : cut) {
        const auto age = std::chrono::duration_cast<Milliseconds>(request.age);
        logWarning(
            "request_cut",
            {{"id", request.id}, {"stage", toString(request.stage)}, {"elapsed_ms", age.count()}});
    }
    logInfo("stopped",
            {{"is_quiet", m_callers.isDrained() ? "yes" : "no"},
             {"connections", m_callers.connections()},
             {"cut", cut.size()},
             {"elapsed_ms", elapsedMilliseconds(m_begunAt)}});
    m_onEnded();
}

} // namespace gwt
