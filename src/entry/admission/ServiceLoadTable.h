#pragma once

#include "common/Time.h"

#include <map>
#include <string>
#include <vector>

namespace gwt {

/// \brief Load of one service, as reported in a relay's reply.
struct ServiceLoadReport
{
    std::string service;
    Duration queueDelay{0}; ///< expected wait of a new request for a slot
    Duration serviceTime{0}; ///< recent mean time in a slot
    int slots = 0; ///< usable slots over all live replicas
};

/// \brief An entry's estimate of the load of one service.
struct ServiceLoadEstimate
{
    Duration queueDelay{0}; ///< as last reported
    Duration meanQueueDelay{0}; ///< exponential moving average of the reports
    Duration serviceTime = Milliseconds(8);
    int slots = 0; ///< 0: none reported yet
    TimePoint reportedAt;
    TimePoint limitLoweredAt; ///< when the limit was last lowered
    int inFlight = 0; ///< requests of this entry without a reply
    std::map<double, int> inFlightByWorth; ///< inFlight by worth of the rank
    double limit = 0; ///< concurrency limit on inFlight

    /// \brief The reported queue delay, less the time since the report, in which the queue drains.
    Duration queueDelayAt(TimePoint now) const;
    /// \brief The queue delay of a request of \a worth; requests of lower worth are served later.
    Duration queueDelayAt(TimePoint now, double worth) const;
    /// \brief Requests in flight of ranks of \a worth.
    int inFlightOfWorth(double worth) const;
    /// \brief Requests in flight of ranks of at least \a worth.
    int inFlightAtLeast(double worth) const;
    /// \brief Requests per second that the service can run; 0 if unknown.
    double capacity() const;
};

/// \brief Parameters of the adaptive concurrency limits of a ServiceLoadTable.
struct ConcurrencyOptions
{
    Duration queueDelayTarget = Milliseconds(40);
    double initialLimit = 8; ///< limit before the first report
    double minLimit = 2;
    double maxInFlightPerSlot = 24; ///< max. requests in flight per slot, over all entries
};

/// \brief The load of all services and their concurrency limits, as seen by one entry; no I/O.
///
/// Each service has a limit on this entry's requests in flight. The limit grows while the mean
/// reported queue delay is at most its target and the limit is in use; above the target it shrinks
/// in proportion to the excess. A limit also holds between reports. All entries adapt in the same
/// way and share the slots.
class ServiceLoadTable
{
public:
    explicit ServiceLoadTable(ConcurrencyOptions options);

    /// \brief Counts one request in flight to each of \a services, of a rank of \a worth.
    void addInFlight(const std::vector<std::string> &services, double worth);
    /// \brief Reverts addInFlight() when the requests have ended.
    void removeInFlight(const std::vector<std::string> &services, double worth);
    /// \brief Applies a relay's report; \a entries is the number of live entries.
    void applyReport(const ServiceLoadReport &load, int entries, TimePoint now);

    /// \brief The estimate of \a service; the reference is valid until the table changes.
    const ServiceLoadEstimate &estimate(const std::string &service) const;
    /// \brief Median capacity of those of \a services that have reported; 0 if none has.
    double medianCapacity(const std::vector<std::string> &services) const;

private:
    ServiceLoadEstimate &findOrAdd(const std::string &service);
    void adaptLimit(ServiceLoadEstimate &estimate, int entries, TimePoint now) const;

    ConcurrencyOptions m_options;
    ServiceLoadEstimate m_initialEstimate; ///< of services without requests and reports
    std::map<std::string, ServiceLoadEstimate> m_services;
};

} // namespace gwt
