#pragma once

#include "common/OneShot.h"

#include <map>
#include <string>
#include <vector>

namespace gwt {

/// \brief Keys of a range with a booking in progress, and the tasks that wait for them.
///
/// Not thread-safe: used on the range's strand only.
class ActiveKeys
{
public:
    /// \brief Marks \a key as in progress for a booking whose body has \a digest.
    void begin(const std::string &key, const std::string &digest) { m_keys[key].digest = digest; }

    /// \brief Removes \a key and wakes the tasks that wait for it.
    void end(const std::string &key)
    {
        const auto found = m_keys.find(key);
        if (found == m_keys.end())
            return;
        const std::vector<OneShot<bool>> waiters = std::move(found->second.waiters);
        m_keys.erase(found);
        for (const auto &waiter : waiters)
            waiter.set(true);
    }

    bool contains(const std::string &key) const { return m_keys.count(key) > 0; }
    bool isEmpty() const { return m_keys.empty(); }
    std::string digestOf(const std::string &key) const { return m_keys.at(key).digest; }

    /// \brief Waits until \a key is no longer in progress; false if \a deadline passed first.
    Task<bool> wait(std::string key, TimePoint deadline)
    {
        const OneShot<bool> ended;
        m_keys[key].waiters.push_back(ended);
        co_return co_await ended.waitUntil(deadline, false);
    }

private:
    struct Entry
    {
        std::string digest;
        std::vector<OneShot<bool>> waiters;
    };

    std::map<std::string, Entry> m_keys;
};

} // namespace gwt
