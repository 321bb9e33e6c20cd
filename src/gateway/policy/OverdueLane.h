#pragma once

#include <cstdint>
#include <functional>
#include <list>

namespace gwt {

/// \brief Starts queries whose target has passed before they came, a few at a time.
///
/// Answers the pattern of all hosts that come back after a loss of power: every caller whose first
/// try failed is there at once, and at the backend servers, which serve in order of arrival, their
/// queries would make those late that can still make their target. Late answers lose little by
/// waiting, up to the time at which they must start to be there at all. Pure decision code.
class OverdueLane
{
public:
    using Start = std::function<void()>;
    using Id = std::uint64_t;

    /// \brief Names a query that is going to be added.
    Id newId() { return ++m_lastId; }
    /// \brief Runs \a start at once or when a query of the lane ends.
    void add(Id id, Start start);
    /// \brief The query \a id has ended, or waits no longer.
    void remove(Id id);
    std::size_t waiting() const { return m_waiting.size(); }
    bool isEmpty() const { return m_waiting.empty() && m_inProgress == 0; }

private:
    struct Waiting
    {
        Id id = 0;
        Start start;
    };

    /// The processes of a small fleet then fill the slots of a shard with them, and no queue; with
    /// two the queries in between were late (docs/POLICY.md).
    static constexpr std::size_t s_inProgress = 1;

    void startNext();

    std::list<Waiting> m_waiting; ///< oldest first
    std::size_t m_inProgress = 0;
    Id m_lastId = 0;
    bool m_isStarting = false;
};

} // namespace gwt
