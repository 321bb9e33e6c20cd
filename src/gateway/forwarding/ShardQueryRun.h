#pragma once

#include "common/Log.h"
#include "gateway/forwarding/ServiceCall.h"

namespace gwt {

/// \brief Runs one query over all shards of a route and answers with the merged records.
///
/// The shards are those of the configuration that was in force when the query arrived.
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
    /// \brief True if the latency target has passed, counted from the caller's first try, and no
    /// query over these shards was refused lately.
    bool isOverdue() const;
    /// \brief Delays send() until the overdue queue starts the query, at most until one target
    /// before the deadline.
    void waitInOverdueQueue();
    void leaveOverdueQueue();
    void send();
    void onShardReply(ServiceReply reply);
    void decide();
    void scheduleHedge(Duration delay);
    void hedge();
    void answer();
    /// \brief Fails the query with 503, or with \a statusIfRun if some backend server may have run
    /// it.
    void giveUp(unsigned statusIfRun, const std::string &reason);
    /// \brief Responds now, with the shards that have answered if these are enough.
    void endEarly(const std::string &reason);
    bool mayHaveRun() const;
    void refuse(const std::string &reason, std::size_t reachable);
    Milliseconds retryAfter(TimePoint now) const;
    void reportPressure();
    void onCallerDisconnected();
    void finish();
    std::vector<LogField> logFields(const std::string &reason, unsigned status) const;
    QueryProgress progress() const;
    Duration elapsed() const;

    ForwardingContext &m_context;
    const RequestPlan m_plan;
    std::vector<std::shared_ptr<ServiceCall>> m_calls;
    std::vector<Part> m_parts;
    std::map<std::string, int> m_missingByReason; ///< number of failed shards, by reason
    std::size_t m_pendingShards = 0;
    bool m_isSending = false;
    bool m_isEnded = false;
    bool m_mayHaveRun = false;
    bool m_isInOverdueQueue = false; ///< waits in the overdue queue or was started by it
    OverdueQueue::Id m_overdueId = 0;
    bool m_isPressureReported = true; ///< false while the admission awaits a pressure report
    TimePoint m_startedAt;
    Duration m_reserved{0}; ///< part of the target kept for everything but the backend servers
    TimePoint m_cutoff; ///< when an answer with the minimum coverage is due
    TimerQueue::Id m_hedgeTimer;
    TimerQueue::Id m_cutoffTimer;
    TimerQueue::Id m_overdueTimer; ///< fires at the latest start time
    TimerQueue::Id m_deadlineTimer;
};

} // namespace gwt
