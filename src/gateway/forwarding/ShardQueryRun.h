#pragma once

#include "common/Log.h"
#include "gateway/forwarding/ServiceCall.h"

namespace gwt {

/// \brief Runs one query over all shards of a route and answers with the merged records.
///
/// All shards are those of the configuration that was in force when the query arrived.
class ShardQueryRun : public std::enable_shared_from_this<ShardQueryRun>
{
public:
    ShardQueryRun(ForwardingContext &context, RequestPlan plan);

    void start();

private:
    struct Part
    {
        std::string signature;
        std::string records;
    };

    std::vector<std::string> reachableShards(TimePoint now) const;
    /// \brief True if the target has passed already, counted from the caller's first try.
    bool isOverdue() const;
    /// \brief Sends when other late queries have ended, or when it is time to.
    void waitInLane();
    void leaveLane();
    void send();
    void onShard(ServiceReply reply);
    void decide();
    void armHedge(Duration delay);
    void hedge();
    void answer();
    /// \brief Ends the query without an answer: as refused, or with \a statusIfRun if something
    /// may have run.
    void giveUp(unsigned statusIfRun, const std::string &reason);
    bool mayHaveRun() const;
    void refuse(const std::string &reason, std::size_t reachable);
    void notePressure();
    void callerGone();
    void finish();
    std::vector<LogField> endFields(const std::string &reason, unsigned status) const;
    QueryProgress progress() const;
    Duration elapsed() const;

    ForwardingContext &m_context;
    const RequestPlan m_plan;
    std::vector<std::shared_ptr<ServiceCall>> m_calls;
    std::vector<Part> m_parts;
    std::map<std::string, int> m_missing; ///< shards that failed, by reason
    std::size_t m_open = 0;
    bool m_isStarting = false;
    bool m_isEnded = false;
    bool m_mayHaveRun = false;
    bool m_isInLane = false; ///< waits there or was started by it
    OverdueQueue::Id m_overdueId = 0;
    bool m_isPressureNoted = true; ///< false from its admission on until it shows the pressure
    TimePoint m_startedAt;
    Duration m_reserved{0}; ///< of the target, for everything but the backend servers
    TimePoint m_cutoff; ///< when an answer with the minimum coverage is due
    TimerQueue::Id m_hedgeTimer;
    TimerQueue::Id m_cutoffTimer;
    TimerQueue::Id m_laneTimer; ///< when it starts at the latest
    TimerQueue::Id m_deadlineTimer;
};

} // namespace gwt
