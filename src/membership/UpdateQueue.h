#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace gwt {

/// \brief Queues the members whose state is to be propagated, those sent least often first.
class UpdateQueue
{
public:
    /// \brief Queues an update of \a id; it replaces an older one and resets its count.
    void add(const std::string &id);
    void remove(const std::string &id);
    bool empty() const { return m_queue.empty(); }
    std::size_t size() const { return m_queue.size(); }

    /// \brief Returns ids as long as \a fits accepts them; each leaves the queue once it has been
    /// returned \a transmitLimit times.
    template <typename Fits>
    std::vector<std::string> nextBatch(int transmitLimit, Fits fits)
    {
        std::vector<std::string> batch;
        for (const auto &[count, id] : m_queue) {
            if (!fits(id))
                break;
            batch.push_back(id);
        }
        for (const std::string &id : batch)
            countTransmission(id, transmitLimit);
        return batch;
    }

private:
    void countTransmission(const std::string &id, int transmitLimit);

    std::set<std::pair<int, std::string>> m_queue;
    std::map<std::string, int> m_transmissions;
};

} // namespace gwt
