#pragma once

#include "common/Time.h"

#include <optional>
#include <string_view>

namespace gwt {

/// \brief Why no requests are sent to a backend server, by its own statement.
enum class HoldReason {
    None,
    Leaving, ///< it is about to end and takes no new work
    Shedding ///< it rejects work for a while
};

/// \brief The metric label and log value of \a reason.
const char *toString(HoldReason reason);

/// \brief Limits for what a backend server's statement can cause.
struct HoldRules
{
    /// A longer pause is cut to this, so that a wrong value does not disable a server for good.
    Duration maxPause = std::chrono::minutes(5);
    /// The hold lasts longer than the pause by up to this share of it, differently in each process.
    double spread = 0.25;
    Duration maxSpread = std::chrono::seconds(2);
};

/// \brief Tracks how long one backend server has asked not to receive requests.
///
/// Handles servers that shed load or leave while many processes send to them: a process that
/// knows only the failure rate returns within a second, and all of them return together. After a
/// pause the server is on trial until it has answered once, with one request at a time.
class BackendHold
{
public:
    explicit BackendHold(HoldRules rules = {});

    /// \brief The server is leaving. This is never revoked.
    void recordLeaving() { m_isLeaving = true; }
    /// \brief The server rejects requests for \a pause from \a now; never shortens a hold.
    ///
    /// \a jitter, from 0 to 1, selects by how much the hold outlasts the pause.
    void recordPause(Duration pause, double jitter, TimePoint now);
    /// \brief The server has answered a request that was sent at \a sentAt.
    void recordServed(TimePoint sentAt);
    /// \brief Adds what \a other knows about the same server.
    void merge(const BackendHold &other);

    bool isLeaving() const { return m_isLeaving; }
    HoldReason reason(TimePoint now) const;
    bool isActive(TimePoint now) const { return reason(now) != HoldReason::None; }
    /// \brief When requests may be sent again; TimePoint::max() if never.
    TimePoint until() const { return m_isLeaving ? TimePoint::max() : m_pausedUntil; }
    /// \brief True if a request may be sent now, while \a inFlight others are in flight.
    bool mayReceive(int inFlight, TimePoint now) const;

private:
    HoldRules m_rules;
    TimePoint m_pausedUntil;
    bool m_isLeaving = false;
    bool m_isOnTrial = false;
};

/// \brief Reads a Retry-After value in seconds, fractions allowed.
///
/// Returns nullopt for a value that is no finite number of seconds or is negative. Very long times
/// are cut to a day.
std::optional<Duration> parseRetryAfter(std::string_view text);

} // namespace gwt
