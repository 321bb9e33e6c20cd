#pragma once

#include "gateway/quota/LeaseStore.h"

#include <optional>
#include <string>
#include <vector>

namespace gwt {

/// \brief Result of a call to the holder of a lease.
enum class ProbeResult {
    Reached,
    NoReply,
    Ended ///< its process certainly no longer grants under its present term
};

/// \brief Timing of leases.
struct LeaseRules
{
    /// A holder without a proof of its lease that is more recent than this grants nothing, and a
    /// new holder waits so long: then at most one of them grants at any time. Covers most outages
    /// of the store. Only a holder that is lost without a trace makes its successor wait.
    Duration proofLimit = std::chrono::seconds(8);
    Duration silenceLimit = std::chrono::seconds(1); ///< without a reply until a challenge
    /// Time for which a holder that was replaced leaves a silent successor to the other candidates.
    /// If only the link between the two is down, they would replace each other without end, and
    /// each change costs the wait. Three times that, so that one of them grants most of the time.
    Duration replacedPause = std::chrono::seconds(30);
    Duration turn = std::chrono::seconds(2); ///< between two candidates for a vacant lease
    /// After the store has returned from an older copy, until another process than the holder takes
    /// the lease. The holder learns of it with its watch, which lasts up to 2 s.
    Duration retakeTime = std::chrono::seconds(3);
};

/// \brief Decides when this process takes a lease and when it may act as its holder.
///
/// Handles the loss of a coordinator, and one that is paused or cut off while another takes its
/// place. Does no I/O.
class LeaseKeeper
{
public:
    struct Identity
    {
        std::string host;
        std::string incarnation;
    };

    /// \brief \a preference is the index of the candidate that takes the lease first.
    LeaseKeeper(LeaseRules rules, Identity self, std::size_t preference);

    /// \brief Sets the hosts that may take the lease, in order.
    void setCandidates(std::vector<std::string> candidates);
    /// \brief The store has returned from an older copy. Stops granting until the lease is written
    /// again; \a provenAt is that of the LeaseStore in the earlier era.
    void onNewEra(TimePoint provenAt, TimePoint now);
    /// \brief The store holds \a lease, or none, as of \a revision.
    void onLease(const std::optional<Lease> &lease, std::uint64_t revision, TimePoint now);
    /// \brief Records a call to \a host that was made at \a calledAt. A call from before the
    /// present holder was known proves nothing about it.
    void onProbe(const std::string &host, ProbeResult result, TimePoint calledAt, TimePoint now);
    /// \brief The lease to write now; nullopt if none. The write is in progress until onWritten().
    std::optional<Lease> beginWrite(TimePoint now);
    /// \brief The write ended; \a lease is set if it took effect.
    void onWritten(const std::optional<Lease> &lease, TimePoint now);
    /// \brief Stops granting for good; returns the lease to write, if this process holds it. To be
    /// repeated after a write that was in progress.
    std::optional<Lease> release();

    /// \brief Stops granting under the present term, so that another process need not wait to take
    /// the lease. This process takes it back if none does.
    void yield();

    /// \brief The host to call in order to learn whether the holder lives; empty: none.
    std::string hostToProbe() const;
    /// \brief Name of the host that holds the lease; empty if unknown.
    const std::string &holder() const { return m_lease.holder; }
    /// \brief True if this process holds the lease, whether or not it may grant.
    bool isHolder() const { return !m_isReleased && isOwn(m_lease); }
    /// \brief When this process may begin to grant under its present lease; nullopt if it holds
    /// none.
    std::optional<TimePoint> grantsFrom() const { return m_grantsFrom; }
    /// \brief True if this process may act as the holder; \a provenAt is that of the LeaseStore.
    bool mayGrant(TimePoint provenAt, TimePoint now) const;
    std::uint64_t term() const { return m_lease.term; }
    /// \brief True if the store has returned from an older copy and this process, which could
    /// grant until then, may take its lease back without a wait.
    bool mayRetake() const { return m_mayRetake; }

private:
    bool isOwn(const Lease &lease) const;
    /// \brief Number of candidates that take a vacant lease before this process; nullopt if it is
    /// no candidate.
    std::optional<std::size_t> turn() const;
    bool isVacant() const { return m_lease.holder.empty(); }
    bool needsWait() const;
    bool isTakeoverDue(TimePoint now) const;

    const LeaseRules m_rules;
    const Identity m_self;
    const std::size_t m_preference;
    std::vector<std::string> m_candidates;
    bool m_isKnown = false; ///< the store has been read
    TimePoint m_changedAt; ///< when the present holder, or the lack of one, became known
    std::string m_releasedBy; ///< holder that has given the lease up, while nobody has taken it
    std::optional<TimePoint> m_replacedAt; ///< set if the present holder replaced this process
    /// The store may have lost a newer lease: this one is missing or of an earlier era.
    bool m_isLost = false;
    Lease m_lease; ///< newest known; vacant if there is none or it was lost
    std::uint64_t m_era = 0; ///< of the store
    TimePoint m_eraSince; ///< when this process learned of it
    bool m_mayRetake = false;
    std::optional<TimePoint> m_silentSince; ///< first call to the holder without a reply
    bool m_hasHolderEnded = false;
    TimePoint m_reachedOtherAt; ///< last reply of a host that is not the holder
    bool m_isWriting = false;
    bool m_needsWait = true; ///< of the write in progress
    std::uint64_t m_writeEra = 0; ///< era in which the write in progress began
    std::optional<TimePoint> m_grantsFrom;
    /// A proof before this does not count. After a wait, a proof from before its end might be of an
    /// earlier era, in which the previous holder has taken back its lease.
    TimePoint m_proofFrom;
    bool m_isReleased = false;
    bool m_hasYielded = false; ///< under the present term
};

} // namespace gwt
