#pragma once

#include "common/LogRateLimiter.h"
#include "common/Metrics.h"
#include "common/Random.h"
#include "gateway/backends/BackendServer.h"
#include "gateway/backends/HoldMemory.h"
#include "gateway/forwarding/HeaderNames.h"

#include <optional>
#include <string>

namespace gwt {

/// \brief Applies to the holds of backend servers what their responses state, and logs it.
///
/// A response states that its server is leaving, or, with status 503 or 429, how long it wants no
/// further requests. What a response of another instance states is ignored.
class HoldTracker
{
public:
    HoldTracker(const HeaderNames &headerNames, Metrics &metrics);

    /// \brief Applies the head of a response that \a server sent to request \a requestId of
    /// \a service.
    ///
    /// Returns the end of the hold if one has begun or been extended.
    std::optional<TimePoint> record(const std::string &service, BackendServer &server,
                                    const WireResponse &head, const std::string &requestId,
                                    TimePoint now);
    /// \brief Logs that the hold of \a server has ended, because of \a cause.
    void logEnd(const std::string &service, const BackendServer &server, HoldReason reason,
                const char *cause, TimePoint now);
    /// \brief Retains the hold of \a server, whose registration has disappeared or changed.
    void retain(const BackendServer &server, TimePoint now);
    /// \brief Adds to \a server what was retained about the same instance.
    void restore(BackendServer &server) const;

private:
    bool isFromServer(const BackendServer &server, const WireResponse &head) const;
    std::optional<Duration> pauseOf(const WireResponse &head) const;

    const HeaderNames &m_headerNames;
    Metrics &m_metrics;
    HoldMemory m_memory;
    LogRateLimiter m_logLimiter;
    RandomEngine m_random;
};

} // namespace gwt
