#pragma once

#include "common/Time.h"

namespace gwt {

/// \brief Time limits within which a process notices that its state may be outdated.
///
/// All follow from the time within which an update must be in force in every process. Each wait
/// for an update is short enough that a peer that has fallen silent is told apart from one without
/// updates while there is still time to get the update elsewhere.
class FreshnessLimits
{
public:
    /// Time beyond its wait after which a call without a reply has failed; a slow registry needs
    /// up to 0.4 s.
    static constexpr Milliseconds s_replyMargin{500};
    /// Pause of a process between two polls, so that changes in quick succession are sent together.
    static constexpr Milliseconds s_batchPause{30};

    /// \param updateLimit Time within which an update must be in force in every process.
    /// \param drainLimit Time within which no process may use a backend server that is leaving.
    explicit FreshnessLimits(Milliseconds updateLimit, Milliseconds drainLimit = Milliseconds(3000))
        : m_updateLimit(updateLimit)
        , m_drainLimit(drainLimit)
    { }

    Milliseconds updateLimit() const { return m_updateLimit; }
    /// \brief Longest wait of a watch of the registry for a change.
    Milliseconds watchWait() const { return m_updateLimit / 5; }
    /// \brief Longest wait of a watch of the backend servers. One that hangs alone is replaced, and
    /// the change passed on over two levels, within the drain limit.
    Milliseconds backendWatchWait() const { return m_drainLimit / 3; }
    /// \brief Longest wait of a poll of another process for an update.
    Milliseconds pollWait() const { return m_updateLimit / 7; }
    /// \brief Registry age that a process \a hops levels below those that watch the registry does
    /// not exceed while its sources answer. Beyond it, the process follows the registry itself; two
    /// levels leave a third of the update limit or more for that.
    Duration staleAfter(int hops) const
    {
        return watchWait() + s_replyMargin + hops * (pollWait() + s_batchPause);
    }

private:
    Milliseconds m_updateLimit;
    Milliseconds m_drainLimit;
};

} // namespace gwt
