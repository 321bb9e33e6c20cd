#pragma once

#include "common/Time.h"

namespace gwt {

/// \brief How a send to a backend server ended, as far as its health is concerned.
enum class SendResult {
    Served, ///< a response of the server's own work
    Refused, ///< it said that it did not run the request
    Failed, ///< an error response, a broken or no response
    Unreachable ///< no connection could be opened
};

/// \brief Weights of the choice among the backend servers of one service.
struct BackendScoreRules
{
    double sampleWeight = 0.25; ///< of a new latency sample in the moving mean
    double maxSlowness = 8; ///< times the usual latency; one sample counts as no more
    /// A backend server that gets no work is forgiven by half in this time, so that it is tried
    /// again soon after a pause or a restart.
    Duration halfLife = Milliseconds(700);
    double failureCost = 12; ///< usual latencies added at a failure rate of one
    Duration unreachablePause = Milliseconds(400); ///< first pause; doubles up to the longest
    Duration longestPause = Milliseconds(1600);
    Duration crossZoneCost = Milliseconds(3); ///< round trip between availability zones
};

/// \brief Passive health of one backend server and what a request would cost there.
///
/// Answers the pattern of few servers a service that pause, slow down, fail in part or go silent:
/// a request that is out for longer than usual counts against the server while it is out.
class BackendScore
{
public:
    explicit BackendScore(BackendScoreRules rules = {});

    /// \brief Takes the end of a send; \a usual is the latency that its kind of request has.
    void note(SendResult result, Duration elapsed, Duration typicalLatency, TimePoint now);
    /// \brief True while the server is left alone after it could not be reached.
    bool isPaused(TimePoint now) const { return now < m_pausedUntil; }
    /// \brief Expected latency of a request whose usual latency is \a usual.
    ///
    /// \a inFlight sends of this process are out, the oldest since \a oldest ago.
    Duration expected(Duration typicalLatency, int inFlight, int slots, Duration oldest,
                      bool isOtherZone, TimePoint now) const;
    double slowness(TimePoint now) const;
    double failureRate(TimePoint now) const;

private:
    double faded(double value, TimePoint now) const;

    BackendScoreRules m_rules;
    double m_excess = 0; ///< moving mean of the latency in usual latencies, less one
    double m_failures = 0; ///< moving mean of failures, 0 to 1
    TimePoint m_updated;
    TimePoint m_pausedUntil;
    Duration m_pause{0};
};

} // namespace gwt
