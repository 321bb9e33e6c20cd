#include "membership/UpdateQueue.h"

namespace gwt {

void UpdateQueue::add(const std::string &id)
{
    remove(id);
    m_transmissions[id] = 0;
    m_queue.emplace(0, id);
}

void UpdateQueue::remove(const std::string &id)
{
    const auto found = m_transmissions.find(id);
    if (found == m_transmissions.end())
        return;
    m_queue.erase({found->second, id});
    m_transmissions.erase(found);
}

void UpdateQueue::countTransmission(const std::string &id, int transmitLimit)
{
    const int count = m_transmissions.at(id) + 1;
    remove(id);
    if (count >= transmitLimit)
        return;
    m_transmissions[id] = count;
    m_queue.emplace(count, id);
}

} // namespace gwt
