#pragma once

#include "common/OneShot.h"

#include <mutex>

namespace gwt {

/// \brief Merges the partial results of a fan-out until all have arrived or the deadline expires.
///
/// Copies share the state. A part added after take() is rejected, so that the result agrees with
/// its own record of which parts it contains. Thread-safe.
template <typename Result>
class Gather
{
public:
    explicit Gather(int parts)
        : m_state(std::make_shared<State>())
    {
        m_state->pending = parts;
    }

    /// \brief Merges one part with \a merge(Result &); false if the result was already taken.
    template <typename Merge>
    bool add(Merge merge) const
    {
        bool isLast = false;
        {
            const std::lock_guard lock(m_state->mutex);
            if (m_state->isTaken)
                return false;
            merge(m_state->result);
            isLast = --m_state->pending <= 0;
        }
        if (isLast)
            m_state->done.set(true);
        return true;
    }

    /// \brief Waits for all parts or until \a deadline, then returns the merged result.
    Task<Result> take(TimePoint deadline) const
    {
        bool isEmpty = false;
        {
            const std::lock_guard lock(m_state->mutex);
            isEmpty = m_state->pending <= 0;
        }
        if (!isEmpty)
            co_await m_state->done.waitUntil(deadline, false);
        const std::lock_guard lock(m_state->mutex);
        m_state->isTaken = true;
        co_return std::move(m_state->result);
    }

    /// \brief Ends the wait early, for example when the caller has disconnected.
    void finish() const { m_state->done.set(false); }

private:
    struct State
    {
        std::mutex mutex;
        int pending = 0;
        bool isTaken = false;
        Result result;
        OneShot<bool> done;
    };

    std::shared_ptr<State> m_state;
};

} // namespace gwt
