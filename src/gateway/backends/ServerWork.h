#pragma once

#include "gateway/backends/LoadReport.h"
#include "gateway/policy/CostEstimator.h"

#include <vector>

namespace gwt {

struct ServerWorkRules
{
    Duration paceHalfLife = Milliseconds(2000); ///< of the weight of ratios
    /// Weight of the prior. A weight of 2 let the noise of wrong estimates divert requests from
    /// idle servers.
    double pacePrior = 8;
    /// Bound on the weight of the ratios, so that a server that recovers after much work is tried
    /// again within about three half-lives.
    double maxPaceWeight = 32;
    double maxRatio = 8; ///< cap of one ratio; its inverse is the floor
    double maxReportedSlowdown = 2; ///< cap of the prior that a report of the server sets
    /// Cap of the load that a report adds, in mean costs. With 1, twenty hosts that follow the same
    /// outdated reports had p99 7 % above that without reports.
    double maxReportedLoad = 0.25;
    Duration reportHalfLife = Milliseconds(20); ///< of the weight of a report
};

/// \brief Tracks the work of one backend server: the requests in flight there with their expected
/// costs, and the pace at which it works (1: usual, 2: half as fast).
class ServerWork
{
public:
    /// A time in floating point, which saves conversions in each decision.
    using Span = std::chrono::duration<double, Duration::period>;

    explicit ServerWork(ServerWorkRules rules = {});

    /// \brief A request with this \a estimate is sent to the server, which has \a slots; \a id is
    /// not in use. It starts there once it is among the \a slots oldest in flight.
    void begin(std::uint64_t id, const CostEstimate &estimate, int slots, TimePoint now);
    void end(std::uint64_t id, TimePoint now);
    /// \brief Time that the request in flight \a id has waited for earlier ones of this process.
    Duration waited(std::uint64_t id, TimePoint now) const;
    /// \brief Records that a request took \a ratio times its expected cost, as a sample of
    /// \a weight from 0 to 1.
    void recordPace(double ratio, double weight, TimePoint now);
    void recordReport(const LoadReport &report, TimePoint now);

    double pace(TimePoint now) const;
    int inFlight() const { return static_cast<int>(m_requests.size()); }
    /// \brief Cost left of the requests in flight at a server that works at \a pace.
    Span workLeft(double pace, TimePoint now) const;
    /// \brief Wait that the server's last report of other senders' requests adds, in mean costs.
    double reportedLoad(TimePoint now) const;

private:
    struct Request
    {
        std::uint64_t id;
        Span cost;
        Span leastLeft;
        TimePoint sentAt;
        TimePoint startedAt; ///< max(): not yet
    };

    double decay(TimePoint since, Duration halfLife, TimePoint now) const;

    const ServerWorkRules m_rules;
    std::vector<Request> m_requests; ///< oldest first; those that have started are first
    std::size_t m_slots = 1;
    double m_ratioSum = 0;
    double m_ratioWeight = 0;
    TimePoint m_paceUpdated;
    double m_reportedSlowdown = 1;
    double m_reportedLoad = 0;
    TimePoint m_reportedAt;
};

} // namespace gwt
