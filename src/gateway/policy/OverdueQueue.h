#pragma once

#include <cstdint>
#include <functional>
#include <list>

namespace gwt {

/// \brief Queues queries whose target had passed before they arrived, and starts few at a time.
///
/// Handles the retries when all hosts return after a power failure: every caller whose first try
/// failed retries at once. The backend servers serve in order of arrival, so these queries would
/// delay others that can still meet their target. An overdue answer loses little by waiting, up to
/// the latest start that still meets its deadline. Does no I/O.
class OverdueQueue
{
public:
    using Start = std::function<void()>;
    using Id = std::uint64_t;

    /// \brief Allocates the id of a query to be added.
    Id newId() { return ++m_lastId; }
    /// \brief Runs \a start at once or when a query that runs from this queue ends.
    void add(Id id, Start start);
    /// \brief Removes the query \a id, which has ended or no longer waits, and starts the next one.
    void remove(Id id);
    std::size_t waiting() const { return m_waiting.size(); }
    bool isEmpty() const { return m_waiting.empty() && m_inFlight == 0; }

private:
    struct Waiting
    {
        Id id = 0;
        Start start;
    };

    /// With one each, the processes of a small fleet fill the slots of a shard without queueing
    /// there. With two, the on-time queries in between were late (docs/POLICY.md).
    static constexpr std::size_t s_maxInFlight = 1;

    void startNext();

    std::list<Waiting> m_waiting; ///< oldest first
    std::size_t m_inFlight = 0;
    Id m_lastId = 0;
    bool m_isStarting = false;
};

} // namespace gwt
