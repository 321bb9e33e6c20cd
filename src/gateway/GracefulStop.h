#pragma once

#include "common/TimerQueue.h"
#include "gateway/GatewayCore.h"
#include "gateway/callers/CallerServer.h"
#include "gateway/policy/StopSchedule.h"

#include <array>
#include <functional>

namespace gwt {

/// \brief Stage of a graceful stop.
enum class StopStage {
    Serving, ///< the stop has not begun
    Announcing, ///< responses close their connections; new connections are served
    ClosingIdle, ///< also closes idle connections
    Finishing, ///< the listener is closed; the requests of open connections are finished
    EndingRequests, ///< requests still open have got a response without a result
    Ended
};

/// \brief Returns the stable lower-case name of \a stage, as used in logs.
const char *toString(StopStage stage);

/// \brief Stops serving callers in stages, such that each request that was read gets a response.
///
/// Callers that open a new connection for each request must not keep the process busy until its
/// time limit. So the listener closes early enough for the requests of the last connections to
/// finish.
class GracefulStop
{
public:
    /// \brief \a limit is the longest duration; \a onEnded runs once, at the end.
    GracefulStop(TimerQueue &timers, GatewayCore &core, CallerServer &callers,
                 Milliseconds announceTime, Milliseconds limit, std::function<void()> onEnded);

    /// \brief Begins the stop; later calls have no effect.
    void begin();
    bool hasBegun() const { return m_stage != StopStage::Serving; }
    /// \brief Changes the longest duration, also during the stop.
    void setLimit(Milliseconds limit);

private:
    struct Transition
    {
        StopStage next;
        Milliseconds StopSchedule::*latest; ///< when it is due at the latest
        /// The stage from which on it is due as soon as the connections are drained; Ended: never.
        StopStage drainedFrom;
        void (GracefulStop::*action)();
    };
    static const std::array<Transition, 4> s_transitions;

    void applySchedule();
    void poll();
    bool isDue(const Transition &transition);
    void enter(const Transition &transition);
    void closeIdle() { m_callers.closeIdle(); }
    void closeListener() { m_callers.stopAccepting(); }
    void endRequests() { m_callers.endRequests(); }
    void end();

    TimerQueue &m_timers;
    GatewayCore &m_core;
    CallerServer &m_callers;
    const Milliseconds m_announceTime;
    Milliseconds m_limit;
    const std::function<void()> m_onEnded;
    StopSchedule m_schedule;
    StopStage m_stage = StopStage::Serving;
    TimePoint m_begunAt;
};

} // namespace gwt
