#pragma once

#include <journal.pb.h>

#include <map>
#include <mutex>
#include <vector>

namespace gwt {

/// \brief Bookings without an outcome in the held ranges, for the status page. Thread-safe.
class UnsettledList
{
public:
    /// \brief Replaces the records of \a range.
    void set(int range, std::vector<wire::BookingRecord> records)
    {
        const std::lock_guard lock(m_mutex);
        if (records.empty())
            m_records.erase(range);
        else
            m_records[range] = std::move(records);
    }

    std::vector<wire::BookingRecord> all() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<wire::BookingRecord> result;
        for (const auto &[range, records] : m_records)
            result.insert(result.end(), records.begin(), records.end());
        return result;
    }

private:
    mutable std::mutex m_mutex;
    std::map<int, std::vector<wire::BookingRecord>> m_records;
};

} // namespace gwt
