#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>

namespace gwt {

/// \brief Services that answered a request completely and in time, by request id. Thread-safe.
class ServedLog
{
public:
    using Entries = std::map<std::string, std::set<std::string>>;

    void record(const std::string &requestId, const std::string &service)
    {
        const std::lock_guard lock(m_mutex);
        m_entries[requestId].insert(service);
    }

    Entries entries() const
    {
        const std::lock_guard lock(m_mutex);
        return m_entries;
    }

private:
    mutable std::mutex m_mutex;
    Entries m_entries;
};

} // namespace gwt
