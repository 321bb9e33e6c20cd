#pragma once

#include "common/OneShot.h"
#include "common/Random.h"
#include "control/ConfigObjects.h"
#include "http/HttpServer.h"
#include "standins/backend/BackendFaults.h"
#include "standins/backend/BookingLedger.h"
#include "standins/backend/ServedLog.h"

#include <deque>
#include <mutex>

namespace gwt {

/// \brief Distribution of the time for which a request occupies a slot.
struct ServiceTime
{
    Milliseconds mean{8};
    double sigma = 1; ///< of the log-normal distribution
    Milliseconds coldStart{0}; ///< time after the start in which service times are tripled
    int queueLimit = 64; ///< maximum number of requests waiting for a slot; more are shed
};

/// \brief Counters of one simulated backend server.
struct BackendCounts
{
    std::uint64_t received = 0; ///< all requests received
    std::uint64_t started = 0; ///< searches that acquired a slot
    std::uint64_t served = 0; ///< searches answered completely
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t expired = 0;
    std::uint64_t overlimit = 0; ///< requests that found all slots busy
    int peakConnections = 0;
    int peakInSlots = 0;
};

/// \brief One simulated backend server: slots, connections, service times and faults.
class FakeBackend
{
public:
    FakeBackend(Executor executor, BackendServer server, ServiceTime time, BookingLedger &ledger,
                ServedLog &served, std::uint64_t seed);

    Outcome<Endpoint> listen();
    const BackendServer &server() const { return m_server; }
    BackendBehaviour behaviour() const;
    void setBehaviour(const BackendBehaviour &behaviour);
    BackendCounts counts() const;

private:
    Task<HttpResponse> answer(HttpRequest request);
    Task<HttpResponse> answerSearch(HttpRequest request);
    Task<HttpResponse> answerBooking(HttpRequest request);
    Task<bool> acquireSlot(CancelToken cancel, TimePoint deadline);
    void releaseSlot();
    Duration drawServiceTime();
    bool draw(double share);
    HttpResponse refuse(int status, const std::string &reason) const;
    /// \brief Applies the configured reply faults to \a response; true if it is unchanged.
    bool applyReplyFaults(HttpResponse &response, const std::string &requestId);
    void recordArrival();

    Executor m_executor;
    const BackendServer m_server;
    const ServiceTime m_time;
    BookingLedger &m_ledger;
    ServedLog &m_served;
    const TimePoint m_startTime;
    mutable std::mutex m_mutex;
    RandomEngine m_random;
    BackendBehaviour m_behaviour;
    BackendCounts m_counts;
    std::string m_swappedReply; ///< reply to send to the next request with swapped replies
    int m_slotsInUse = 0;
    std::deque<OneShot<bool>> m_waiters;
    std::unique_ptr<HttpServer> m_http;
};

} // namespace gwt
