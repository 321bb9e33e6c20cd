#pragma once

#include "common/WorkerPool.h"
#include "http/HttpClient.h"
#include "load/LoadOptions.h"
#include "load/StreamReport.h"

#include <atomic>
#include <mutex>
#include <vector>

namespace gwt {

/// \brief Sends open-loop load: arrivals do not wait for replies, and latency counts from the
/// intended arrival.
class LoadRunner
{
public:
    explicit LoadRunner(LoadOptions options);

    /// \brief Runs all streams and faults, and waits for the last reply or timeout.
    std::vector<StreamReport> run();
    /// \brief Returns the names of the timed faults that the stand-ins did not accept.
    std::vector<std::string> failedFaults() const;

private:
    Task<void> runStream(std::size_t streamIndex, TimePoint start);
    Task<void> runFault(std::size_t faultIndex, TimePoint start);
    Task<void> sendRequest(std::size_t streamIndex, TimePoint arrival, std::string key,
                           std::size_t entryIndex);
    void recordSearch(StreamReport &report, const HttpResponse &response, RequestRecord &record);
    void recordBooking(StreamReport &report, const HttpResponse &response, const std::string &key,
                       RequestRecord &record);
    void printProgress(TimePoint start) const;

    LoadOptions m_options;
    WorkerPool m_pool;
    HttpClient m_client;
    mutable std::mutex m_mutex; ///< guards the reports and failed faults
    std::vector<StreamReport> m_reports;
    std::vector<std::string> m_failedFaults;
    TimePoint m_start;
    std::atomic<int> m_pendingTasks = 0; ///< streams, faults and requests not yet finished
};

} // namespace gwt
