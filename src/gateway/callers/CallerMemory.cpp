#include "gateway/callers/CallerMemory.h"

#include "common/Log.h"

#include <algorithm>

namespace gwt {

CallerMemory::CallerMemory(MemoryBudget &budget, TimerQueue &timers, Metrics &metrics)
    : m_budget(budget)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_heldBytes(metrics.gauge("gwt_gateway_held_bytes",
                                "Memory held for callers and for responses of backend servers"))
{
    metrics
        .gauge("gwt_gateway_held_bytes_limit",
               "Limit on the memory held for callers and for responses of backend servers")
        .Set(static_cast<double>(budget.limit()));
}

MemoryBudget::Id CallerMemory::add(std::weak_ptr<MemoryHolder> holder)
{
    const MemoryBudget::Id id = m_budget.add(Clock::now());
    m_holders[id] = std::move(holder);
    return id;
}

void CallerMemory::remove(MemoryBudget::Id id)
{
    m_budget.remove(id);
    m_holders.erase(id);
    m_heldBytes.Set(static_cast<double>(m_budget.held()));
}

void CallerMemory::setBytes(MemoryBudget::Id id, std::size_t bytes, MemoryUse use)
{
    m_budget.setBytes(id, bytes, use);
    m_heldBytes.Set(static_cast<double>(m_budget.held()));
    if (m_budget.isExhausted())
        makeRoom(id, 0);
    if (m_budget.isUnderPressure())
        armCheck();
}

void CallerMemory::pause(std::shared_ptr<MemoryHolder> holder)
{
    m_paused.push_back(std::move(holder));
    armCheck();
}

bool CallerMemory::admit(MemoryBudget::Id id, std::size_t bytes)
{
    if (!m_budget.admits(id, bytes))
        makeRoom(id, bytes - std::min(bytes, m_budget.bytes(id)));
    return m_budget.admits(id, bytes);
}

void CallerMemory::recordRefusal(MemoryBudget::Id id, const std::string &how, std::size_t bytes)
{
    m_metrics
        .counter("gwt_gateway_memory_refusals_total",
                 "Requests refused and connections closed for lack of memory", {{"how", how}})
        .Increment();
    const TimePoint now = Clock::now();
    if (!m_logLimiter.allowUnserved(now))
        return;
    const auto stall
        = std::chrono::duration_cast<Milliseconds>(m_budget.timeWithoutProgress(id, now));
    logInfo("memory_refusal",
            {{"how", how},
             {"bytes", bytes},
             {"stalled_ms", stall.count()},
             {"held", m_budget.held()},
             {"limit", m_budget.limit()}});
}

void CallerMemory::makeRoom(MemoryBudget::Id exempt, std::size_t needed)
{
    // A connection that answers its request while it is closed here accounts for the response.
    if (std::exchange(m_isMakingRoom, true))
        return;
    for (const MemoryBudget::Id id : m_budget.selectForClose(exempt, needed, Clock::now())) {
        const auto found = m_holders.find(id);
        if (found == m_holders.end())
            continue;
        const auto holder = found->second.lock();
        if (!holder) {
            remove(id);
            continue;
        }
        const std::size_t bytes = m_budget.bytes(id);
        const std::string how = holder->freeMemory();
        if (!how.empty())
            recordRefusal(id, how, bytes);
    }
    m_isMakingRoom = false;
}

void CallerMemory::armCheck()
{
    const Milliseconds interval
        = m_budget.isUnderPressure() ? MemoryBudget::s_checkInterval : MemoryBudget::s_stallTime;
    const TimePoint due = Clock::now() + interval;
    if (m_checkTimer.number != 0 && m_checkTimer.due <= due)
        return;
    m_timers.cancel(m_checkTimer);
    m_checkTimer = m_timers.at(due, [this] { check(); });
}

void CallerMemory::check()
{
    m_checkTimer = {};
    constexpr MemoryBudget::Id nobody = 0;
    for (const auto &holder : std::vector(m_paused))
        holder->updateMemory();
    makeRoom(nobody, 0);
    // The newest first: its caller is the most likely to be still there and sending. Each one that
    // still may not read is paused again.
    std::vector<std::shared_ptr<MemoryHolder>> paused = std::exchange(m_paused, {});
    std::reverse(paused.begin(), paused.end());
    for (const auto &holder : paused)
        holder->resumeReading();
    std::reverse(m_paused.begin(), m_paused.end());
    if (m_budget.isUnderPressure() || !m_paused.empty())
        armCheck();
}

} // namespace gwt
