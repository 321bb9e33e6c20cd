#include "gateway/policy/OverdueQueue.h"

#include <algorithm>

namespace gwt {

void OverdueQueue::add(Id id, Start start)
{
    m_waiting.push_back({id, std::move(start)});
    startNext();
}

void OverdueQueue::startNext()
{
    // A query that ends while it starts calls this again.
    if (m_isStarting)
        return;
    m_isStarting = true;
    while (!m_waiting.empty() && m_inFlight < s_maxInFlight) {
        const Waiting next = std::move(m_waiting.front());
        m_waiting.pop_front();
        ++m_inFlight;
        next.start();
    }
    m_isStarting = false;
}

void OverdueQueue::remove(Id id)
{
    const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(),
                                      [id](const Waiting &each) { return each.id == id; });
    if (waiting != m_waiting.end()) {
        m_waiting.erase(waiting);
        return;
    }
    --m_inFlight;
    startNext();
}

} // namespace gwt
