#pragma once

#include "common/Random.h"
#include "distribution/DistributionOptions.h"
#include "membership/Member.h"

#include <optional>

namespace gwt {

/// \brief Next action of a daemon to find a newer configuration.
enum class PullAction {
    Wait,
    PollPeer, ///< poll the head of one peer and pull what is newer
    PollQuorum, ///< no generation yet: poll many and pull the highest if a majority answers
    ReadStore ///< information from the store, direct or through peers, is too stale: read the store
};

struct PullStep
{
    PullAction action = PullAction::Wait;
    MemberList peers;
};

/// \brief Decides when a daemon polls for a newer configuration, and which peers or the store.
///
/// Does no I/O; time and randomness are arguments.
class PullPolicy
{
public:
    explicit PullPolicy(DistributionOptions options);

    /// \brief Returns the step at \a now for a daemon that holds \a generation.
    ///
    /// Each step other than Wait postpones the next one of its kind by a jittered interval.
    PullStep next(std::uint64_t generation, const MemberList &members, TimePoint now,
                  RandomEngine &random);
    /// \brief Records that the current configuration was the newest in the store at \a freshAt,
    /// according to this daemon or to a peer, and postpones the next read of the store.
    ///
    /// The read is postponed relative to \a freshAt, so a peer with stale information hardly delays
    /// it, and a generation that no peer has is still found.
    void recordFreshness(TimePoint freshAt, const MemberList &members, RandomEngine &random);
    /// \brief Newest time that was passed to recordFreshness(); empty before the first call.
    std::optional<TimePoint> freshAt() const { return m_freshAt; }

    /// \brief True if \a replies of \a polled peers are enough to apply the highest generation.
    static bool isQuorum(std::size_t replies, std::size_t polled);

private:
    void postponeStoreRead(TimePoint from, const MemberList &members, RandomEngine &random);
    PullStep pollPeer(const MemberList &others, const MemberList &watchers, RandomEngine &random);

    DistributionOptions m_options;
    bool m_hasStarted = false;
    bool m_prefersWatcher = true;
    TimePoint m_nextPoll;
    TimePoint m_nextStoreRead;
    std::optional<TimePoint> m_freshAt;
};

} // namespace gwt
