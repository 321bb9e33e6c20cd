#include "gateway/policy/OverdueLane.h"

#include <algorithm>

namespace gwt {

bool OverdueLane::add(Id id, Start start, Duration timeLeft)
{
    const std::size_t ahead = m_waiting.size() + m_inProgress;
    const auto rounds = static_cast<std::int64_t>(ahead / s_inProgress);
    if (rounds > 0 && m_usual * rounds > timeLeft)
        return false;
    m_waiting.push_back({id, std::move(start)});
    startNext();
    return true;
}

void OverdueLane::startNext()
{
    // A query that ends as it starts calls this again.
    if (m_isStarting)
        return;
    m_isStarting = true;
    while (!m_waiting.empty() && m_inProgress < s_inProgress) {
        const Waiting next = std::move(m_waiting.front());
        m_waiting.pop_front();
        ++m_inProgress;
        next.start();
    }
    m_isStarting = false;
}

void OverdueLane::noteEnd(Id id, Duration elapsed)
{
    const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(),
                                      [id](const Waiting &each) { return each.id == id; });
    if (waiting != m_waiting.end()) {
        m_waiting.erase(waiting);
        return;
    }
    --m_inProgress;
    const double weight = m_usual == Duration::zero() ? 1 : s_newSample;
    m_usual += std::chrono::duration_cast<Duration>((elapsed - m_usual) * weight);
    startNext();
}

} // namespace gwt
