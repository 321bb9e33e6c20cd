#pragma once

#include <atomic>
#include <string_view>

namespace gwt {

/// \brief The state reported by /readyz.
enum class ReadyState { Priming, Ready, Draining };

std::string_view toString(ReadyState state);

/// \brief Tracks the process's readiness. Draining is final. Thread-safe.
class Readiness
{
public:
    ReadyState state() const { return m_state; }
    bool isReady() const { return m_state == ReadyState::Ready; }
    bool isDraining() const { return m_state == ReadyState::Draining; }

    /// \brief Changes the state from Priming to Ready; has no effect in other states.
    void markReady();
    void markDraining() { m_state = ReadyState::Draining; }

private:
    std::atomic<ReadyState> m_state = ReadyState::Priming;
};

} // namespace gwt
