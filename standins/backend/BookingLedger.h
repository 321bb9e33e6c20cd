#pragma once

#include <map>
#include <mutex>
#include <string>

namespace gwt {

/// \brief Executions and results of the simulated backend servers, by booking key. Thread-safe.
class BookingLedger
{
public:
    struct Entry
    {
        int executions = 0;
        std::string result; ///< of the last execution
    };

    /// \brief Counts one execution of \a key and returns its result.
    std::string execute(const std::string &key, const std::string &attempt)
    {
        const std::lock_guard lock(m_mutex);
        Entry &entry = m_entries[key];
        ++entry.executions;
        entry.result = "confirmed-" + key + "-" + attempt.substr(0, 8);
        return entry.result;
    }

    std::map<std::string, Entry> entries() const
    {
        const std::lock_guard lock(m_mutex);
        return m_entries;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Entry> m_entries;
};

} // namespace gwt
