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
    bool empty() const { return m_order.empty(); }
    std::size_t size() const { return m_order.size(); }

    /// \brief Returns ids as long as \a fits accepts them; each leaves the queue once it has been
    /// returned \a transmitLimit times.
    template <typename Fits>
    std::vector<std::string> take(int transmitLimit, Fits fits)
    {
        std::vector<std::string> taken;
        for (const auto &[count, id] : m_order) {
            if (!fits(id))
                break;
            taken.push_back(id);
        }
        for (const std::string &id : taken)
            countTransmission(id, transmitLimit);
        return taken;
    }

private:
    void countTransmission(const std::string &id, int transmitLimit);

    std::set<std::pair<int, std::string>> m_order;
    std::map<std::string, int> m_counts;
};

} // namespace gwt
