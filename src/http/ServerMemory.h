#pragma once

#include "common/LogRateLimiter.h"
#include "common/Metrics.h"
#include "http/MemoryBudget.h"

#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>

namespace gwt {

/// \brief The account of the memory that callers of all HttpServers of a process occupy.
///
/// Thread-safe. The decisions are those of a MemoryBudget; each connection carries out its part on
/// its own executor.
class ServerMemory
{
public:
    using Id = MemoryBudget::Id;
    /// \brief Asks a connection to free what it holds. Called with the account locked, so it may
    /// only post to the connection's executor.
    using FreeRequest = std::function<void()>;

    ServerMemory(const HostLimits &limits, Metrics &metrics);

    Id add(FreeRequest freeMemory);
    void remove(Id id);
    /// \brief Sets what connection \a id holds; asks others to free memory if that leaves only the
    /// reserve. What these hold is no longer counted then.
    void setBytes(Id id, std::size_t bytes, MemoryUse use);
    void recordProgress(Id id);
    /// \brief As MemoryBudget::mayRead(). If not, connections without progress are asked to free
    /// memory; ask again later.
    bool mayRead(Id id, std::size_t expected);
    /// \brief True if \a id may hold \a bytes in total; asks others to free memory to that end.
    bool admit(Id id, std::size_t bytes);
    /// \brief Counts and logs that a request was refused or a connection closed, \a how.
    void recordRefusal(const std::string &how, std::size_t bytes);
    /// \brief Counts and logs that \a count connections were closed at \a limit connections.
    void recordDropped(std::size_t count, std::size_t limit);

private:
    void makeRoom(Id exempt, std::size_t needed, TimePoint now);

    Metrics &m_metrics;
    prometheus::Gauge &m_heldBytes;
    std::mutex m_mutex; ///< guards the members below
    MemoryBudget m_budget;
    std::unordered_map<Id, FreeRequest> m_freeRequests;
    LogRateLimiter m_logLimiter;
    TimePoint m_checkedAt; ///< when connections without progress were last looked for
};

} // namespace gwt
