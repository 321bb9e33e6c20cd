#include "http/ServerMemory.h"

#include "common/Log.h"

namespace gwt {

namespace {

constexpr ServerMemory::Id nobody = 0;

} // namespace

ServerMemory::ServerMemory(const HostLimits &limits, Metrics &metrics)
    : m_metrics(metrics)
    , m_heldBytes(metrics.gauge("gwt_http_held_bytes", "Memory held for callers"))
    , m_budget(limits)
{
    metrics.gauge("gwt_http_held_bytes_limit", "Limit on the memory held for callers")
        .Set(static_cast<double>(m_budget.limit()));
}

ServerMemory::Id ServerMemory::add(FreeRequest freeMemory)
{
    const std::lock_guard lock(m_mutex);
    const Id id = m_budget.add(Clock::now());
    m_freeRequests[id] = std::move(freeMemory);
    return id;
}

void ServerMemory::remove(Id id)
{
    const std::lock_guard lock(m_mutex);
    m_budget.remove(id);
    m_freeRequests.erase(id);
    m_heldBytes.Set(static_cast<double>(m_budget.held()));
}

void ServerMemory::setBytes(Id id, std::size_t bytes, MemoryUse use)
{
    const std::lock_guard lock(m_mutex);
    m_budget.setBytes(id, bytes, use);
    m_heldBytes.Set(static_cast<double>(m_budget.held()));
    if (m_budget.isExhausted())
        makeRoom(id, 0, Clock::now());
}

void ServerMemory::recordProgress(Id id)
{
    const std::lock_guard lock(m_mutex);
    m_budget.recordProgress(id, Clock::now());
}

bool ServerMemory::mayRead(Id id, std::size_t expected)
{
    const std::lock_guard lock(m_mutex);
    if (m_budget.mayRead(id, expected))
        return true;
    const TimePoint now = Clock::now();
    if (now - m_checkedAt >= MemoryBudget::s_checkInterval) {
        m_checkedAt = now;
        makeRoom(nobody, 0, now);
    }
    return m_budget.mayRead(id, expected);
}

bool ServerMemory::admit(Id id, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    if (!m_budget.admits(id, bytes))
        makeRoom(id, bytes - std::min(bytes, m_budget.bytes(id)), Clock::now());
    return m_budget.admits(id, bytes);
}

void ServerMemory::makeRoom(Id exempt, std::size_t needed, TimePoint now)
{
    for (const Id id : m_budget.selectForClose(exempt, needed, now)) {
        // Running requests stay: admission keeps them within the limit.
        if (m_budget.use(id) == MemoryUse::Running)
            continue;
        m_budget.setBytes(id, 0, MemoryUse::Exchange);
        m_freeRequests.at(id)();
    }
}

void ServerMemory::recordRefusal(const std::string &how, std::size_t bytes)
{
    m_metrics
        .counter("gwt_http_memory_refusals_total",
                 "Requests refused and connections closed for lack of memory", {{"how", how}})
        .Increment();
    const std::lock_guard lock(m_mutex);
    if (m_logLimiter.allowUnserved(Clock::now())) {
        logInfo("memory_refusal",
                {{"how", how},
                 {"bytes", bytes},
                 {"held", m_budget.held()},
                 {"limit", m_budget.limit()}});
    }
}

void ServerMemory::recordDropped(std::size_t count, std::size_t limit)
{
    m_metrics
        .counter("gwt_http_connections_dropped_total",
                 "Connections closed because the limit on connections was reached")
        .Increment(static_cast<double>(count));
    const std::lock_guard lock(m_mutex);
    if (m_logLimiter.allowUnserved(Clock::now()))
        logInfo("connection_limit", {{"limit", limit}, {"closed", count}});
}

} // namespace gwt
