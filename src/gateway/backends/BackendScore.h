#pragma once

#include "common/Time.h"

namespace gwt {

/// \brief Outcome of an attempt, as far as the health of the backend server is concerned.
enum class SendResult {
    Served, ///< a response of the server itself, except server errors
    Refused, ///< the server reported that it did not run the request
    Failed, ///< a server error, or a broken or no response
    Unreachable ///< no connection could be opened
};

/// \brief Weights for the choice among the backend servers of one service.
struct BackendScoreRules
{
    double sampleWeight = 0.25; ///< of a new sample in the moving averages
    double maxSlowness = 8; ///< cap of one sample, in typical latencies
    /// Slowness and failure rate of a backend server that gets no work halve in this time, so that
    /// it is tried again soon after a pause or a restart.
    Duration halfLife = Milliseconds(700);
    double failureCost = 12; ///< typical latencies added at a failure rate of 1
    Duration minBackoff = Milliseconds(400); ///< first backoff; doubles up to maxBackoff
    Duration maxBackoff = Milliseconds(1600);
    Duration crossZoneCost = Milliseconds(3); ///< round trip between availability zones
};

/// \brief Tracks the passive health of one backend server and predicts the latency of a request.
///
/// It handles services of which a few servers pause, slow down, fail some requests or stop
/// responding: a request in flight for unusually long counts against the server at once, before
/// it ends.
class BackendScore
{
public:
    explicit BackendScore(BackendScoreRules rules = {});

    /// \brief Records the end of an attempt; \a typicalLatency is the typical latency of its route.
    void record(SendResult result, Duration elapsed, Duration typicalLatency, TimePoint now);
    /// \brief True during the backoff after the server could not be reached.
    bool isInBackoff(TimePoint now) const { return now < m_backoffUntil; }
    /// \brief Expected latency of a request whose typical latency is \a typicalLatency.
    ///
    /// This process has \a inFlight requests in flight there; the oldest was sent \a oldestAge ago.
    Duration expected(Duration typicalLatency, int inFlight, int slots, Duration oldestAge,
                      bool isOtherZone, TimePoint now) const;
    double slowness(TimePoint now) const;
    double failureRate(TimePoint now) const;
    /// \brief False: failureRate() is 0 at any time.
    bool hasFailures() const { return m_failureRate > 0; }

private:
    double decayed(double value, TimePoint now) const;

    BackendScoreRules m_rules;
    double m_excessLatency = 0; ///< moving average of the latency in typical latencies, minus 1
    double m_failureRate = 0; ///< moving average of failures, 0 to 1
    TimePoint m_updated;
    TimePoint m_backoffUntil;
    Duration m_backoff{0};
};

} // namespace gwt
