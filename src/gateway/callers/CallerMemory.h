#pragma once

#include "common/LogRateLimiter.h"
#include "common/Metrics.h"
#include "common/TimerQueue.h"
#include "gateway/callers/MemoryHolder.h"
#include "http/MemoryBudget.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace gwt {

/// \brief Carries out the decisions of a MemoryBudget on the connections of callers.
class CallerMemory
{
public:
    CallerMemory(MemoryBudget &budget, TimerQueue &timers, Metrics &metrics);

    MemoryBudget::Id add(std::weak_ptr<MemoryHolder> holder);
    void remove(MemoryBudget::Id id);
    /// \brief Sets what \a id holds; closes other connections if that leaves only the reserve.
    void setBytes(MemoryBudget::Id id, std::size_t bytes, MemoryUse use);
    void recordProgress(MemoryBudget::Id id) { m_budget.recordProgress(id, Clock::now()); }
    bool isUnderPressure() const { return m_budget.isUnderPressure(); }
    /// \brief As MemoryBudget::mayRead().
    bool mayRead(MemoryBudget::Id id, std::size_t expected)
    {
        return m_budget.mayRead(id, expected);
    }
    /// \brief Holds \a holder until there is memory again, and then resumes its reading.
    void pause(std::shared_ptr<MemoryHolder> holder);
    /// \brief True if \a id may hold \a bytes in total; closes others to that end if necessary.
    bool admit(MemoryBudget::Id id, std::size_t bytes);
    /// \brief Counts and logs that the request or connection \a id was refused, \a how.
    void recordRefusal(MemoryBudget::Id id, const std::string &how, std::size_t bytes);

private:
    void makeRoom(MemoryBudget::Id exempt, std::size_t needed);
    void armCheck();
    void check();

    MemoryBudget &m_budget;
    TimerQueue &m_timers;
    Metrics &m_metrics;
    prometheus::Gauge &m_heldBytes;
    LogRateLimiter m_logLimiter;
    std::unordered_map<MemoryBudget::Id, std::weak_ptr<MemoryHolder>> m_holders;
    std::vector<std::shared_ptr<MemoryHolder>> m_paused;
    TimerQueue::Id m_checkTimer;
    bool m_isMakingRoom = false;
};

} // namespace gwt
