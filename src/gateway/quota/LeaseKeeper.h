#pragma once

#include "gateway/quota/LeaseStore.h"
#include "gateway/quota/LeaseVotes.h"

#include <optional>
#include <string>
#include <vector>

namespace gwt {

/// \brief Result of a call to the holder of a lease.
enum class ProbeResult {
    Reached,
    NoReply,
    Ended ///< it, or a later process of its host, said that it grants no longer under its term
};

/// \brief Why no other process can grant under a lease that this process takes.
enum class TakeoverBasis {
    Vacant, ///< it has no holder
    SameHost, ///< its holder is an earlier process of this host
    Stated, ///< the holder, or a later process of its host, has said so
    Withdrawn, ///< enough of its voters vote for the holder no longer
    Wait ///< only the age of the holder's proof tells, after LeaseRules::proofLimit
};

/// \brief Whether a process may act as the holder of a lease, or why not.
enum class GrantState {
    NotHolder,
    Granting,
    Waiting, ///< for the end of LeaseRules::proofLimit, or for the first proof after it
    NoProof, ///< the store has not answered recently
    NoVotes ///< too few voters have answered recently
};

/// \brief Decides when this process takes a lease and when it may act as its holder.
///
/// Handles the loss of a coordinator, and one that is paused or cut off while another takes its
/// place. A refused connection or a silence is never taken for the end of the holder; see
/// docs/design/quota-leases.md. Does no I/O.
class LeaseKeeper
{
public:
    struct Identity
    {
        std::string host;
        std::string incarnation;
    };

    /// \brief \a preference is the index of the candidate that takes the lease first; \a votes are
    /// those given for this process.
    LeaseKeeper(LeaseRules rules, Identity self, std::size_t preference, const LeaseVotes &votes);

    /// \brief Sets the hosts that may take the lease, in order.
    void setCandidates(std::vector<std::string> candidates);
    /// \brief Sets the hosts to name as voters when this process takes the lease; \a isIsolated if
    /// they are a minority of those asked, so that this process itself may be cut off.
    void setVoters(std::vector<std::string> voters, bool isIsolated);
    /// \brief The store has returned from an older copy. Stops granting until the lease is written
    /// again; \a provenAt is that of the LeaseStore in the earlier era.
    void onNewEra(TimePoint provenAt, TimePoint now);
    /// \brief The store holds \a lease, or none, as of \a revision.
    void onLease(const std::optional<Lease> &lease, std::uint64_t revision, TimePoint now);
    /// \brief Records a call to \a host that was made at \a calledAt. A call from before the
    /// present holder was known proves nothing about it.
    void onProbe(const std::string &host, ProbeResult result, TimePoint calledAt, TimePoint now);
    /// \brief Records that \a voter, asked at \a calledAt, has withdrawn its vote for process
    /// \a incarnation.
    void onWithdrawal(const std::string &voter, const std::string &incarnation, TimePoint calledAt);
    /// \brief The lease to write now; nullopt if none. The write is in progress until onWritten().
    std::optional<Lease> beginWrite(TimePoint now);
    /// \brief The lease to write in order to replace its voters by \a voters, under the present
    /// term; nullopt if this process does not hold it. Until the result is known, both the old and
    /// the new voters have to vote.
    std::optional<Lease> beginRenewal(const std::vector<std::string> &voters);
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
    /// \brief The process of a holder that does not answer, from which its voters should withdraw;
    /// empty: none.
    std::string challengedProcess() const;
    /// \brief The hosts that vote on the lease.
    const std::vector<std::string> &voters() const { return m_lease.voters; }
    /// \brief Name of the host that holds the lease; empty if unknown.
    const std::string &holder() const { return m_lease.holder; }
    /// \brief True if this process holds the lease, whether or not it may grant.
    bool isHolder() const { return !m_isReleased && isOwn(m_lease); }
    /// \brief When this process may begin to grant under its present lease; nullopt if it holds
    /// none.
    std::optional<TimePoint> grantsFrom() const { return m_grantsFrom; }
    /// \brief True if this process may act as the holder; \a provenAt is that of the LeaseStore.
    bool mayGrant(TimePoint provenAt, TimePoint now) const
    {
        return grantState(provenAt, now) == GrantState::Granting;
    }
    GrantState grantState(TimePoint provenAt, TimePoint now) const;
    /// \brief Basis of the last write that began with beginWrite().
    TakeoverBasis takeoverBasis() const { return m_basis; }
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
    TakeoverBasis basis(TimePoint now) const;
    /// \brief Time until which the withdrawals of enough voters are valid; the epoch if of too few.
    TimePoint withdrawnUntil() const;
    bool isTakeoverDue(TimePoint now) const;
    /// \brief True if another candidate than the holder has answered recently, if there is one.
    bool reachesOthers(TimePoint now) const;

    const LeaseRules m_rules;
    const Identity m_self;
    const std::size_t m_preference;
    const LeaseVotes &m_votes;
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
    std::map<std::string, TimePoint> m_withdrawnAt; ///< calls to voters of the present holder
    std::vector<std::string> m_nextVoters;
    bool m_isIsolated = false; ///< this process reaches only a minority of the hosts
    /// Voters of renewals whose result is unknown.
    std::vector<std::vector<std::string>> m_pendingVoters;
    bool m_isWriting = false;
    bool m_isRenewing = false; ///< the write in progress only replaces the voters
    TakeoverBasis m_basis = TakeoverBasis::Wait; ///< of the write in progress, or the last one
    TimePoint m_basisUntil; ///< end of the validity of withdrawals that it rests on
    std::uint64_t m_writeEra = 0; ///< era in which the write in progress began
    std::optional<TimePoint> m_grantsFrom;
    /// A proof before this does not count. After a wait, a proof from before its end might be of an
    /// earlier era, in which the previous holder has taken back its lease.
    TimePoint m_proofFrom;
    bool m_isReleased = false;
    bool m_hasYielded = false; ///< under the present term
};

} // namespace gwt
