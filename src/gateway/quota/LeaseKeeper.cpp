#include "gateway/quota/LeaseKeeper.h"

#include "common/StoreRevision.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace gwt {

LeaseKeeper::LeaseKeeper(LeaseRules rules, Identity self, std::size_t preference,
                         const LeaseVotes &votes)
    : m_rules(rules)
    , m_self(std::move(self))
    , m_preference(preference)
    , m_votes(votes)
{ }

void LeaseKeeper::setCandidates(std::vector<std::string> candidates)
{
    m_candidates = std::move(candidates);
}

void LeaseKeeper::setVoters(std::vector<std::string> voters, bool isIsolated)
{
    m_nextVoters = std::move(voters);
    // The silence of a holder while this process was cut off says nothing about the holder.
    if (std::exchange(m_isIsolated, isIsolated) && !isIsolated)
        m_silentSince.reset();
}

bool LeaseKeeper::isOwn(const Lease &lease) const
{
    return lease.holder == m_self.host && lease.incarnation == m_self.incarnation;
}

std::optional<std::size_t> LeaseKeeper::turn() const
{
    std::size_t ahead = 0;
    for (std::size_t i = 0; i < m_candidates.size(); ++i) {
        const std::string &candidate = m_candidates[(m_preference + i) % m_candidates.size()];
        if (candidate == m_self.host)
            return ahead;
        if (candidate != m_releasedBy)
            ++ahead;
    }
    return std::nullopt;
}

void LeaseKeeper::onNewEra(TimePoint provenAt, TimePoint now)
{
    m_mayRetake = mayGrant(provenAt, now);
    m_grantsFrom.reset();
}

void LeaseKeeper::onLease(const std::optional<Lease> &lease, std::uint64_t revision, TimePoint now)
{
    // A listing that is older than this process's own write says nothing about it.
    if (m_isKnown && revision < m_lease.revision)
        return;
    const std::uint64_t era = storeEraOf(revision);
    const bool isNewEra = !m_isKnown || era > m_era;
    Lease newest = lease.value_or(Lease{});
    m_isLost = newest.era < era;
    if (m_isLost)
        newest = {"", "", std::max(newest.term, m_lease.term), newest.revision, newest.era};
    else
        m_mayRetake = false;
    const bool hasChanged = isNewEra || newest.holder != m_lease.holder
        || newest.incarnation != m_lease.incarnation || newest.term != m_lease.term;
    const std::string formerHolder = m_lease.holder;
    const bool isReplaced = isOwn(m_lease) && !newest.holder.empty();
    if (isNewEra)
        m_eraSince = now;
    if (isNewEra || newest.revision != m_lease.revision)
        m_pendingVoters.clear();
    m_isKnown = true;
    m_era = era;
    m_lease = newest;
    if (isNewEra || !isOwn(m_lease))
        m_grantsFrom.reset();
    if (!hasChanged)
        return;
    m_changedAt = now;
    m_replacedAt = isReplaced ? std::optional(now) : std::nullopt;
    m_releasedBy = isVacant() && !m_isLost ? formerHolder : std::string();
    m_silentSince.reset();
    m_withdrawnAt.clear();
    m_hasHolderEnded = false;
    m_hasYielded = false;
}

void LeaseKeeper::onProbe(const std::string &host, ProbeResult result, TimePoint calledAt,
                          TimePoint now)
{
    if (host != m_lease.holder) {
        if (result == ProbeResult::Reached)
            m_reachedOtherAt = now;
        return;
    }
    if (calledAt < m_changedAt)
        return;
    switch (result) {
    case ProbeResult::Reached:
        m_silentSince.reset();
        return;
    case ProbeResult::NoReply:
        // The silence of all others says nothing about the holder.
        if (!m_silentSince || !reachesOthers(now))
            m_silentSince = now;
        return;
    case ProbeResult::Ended:
        m_hasHolderEnded = true;
        return;
    }
}

void LeaseKeeper::onWithdrawal(const std::string &voter, const std::string &incarnation,
                               TimePoint calledAt)
{
    if (!isVacant() && incarnation == m_lease.incarnation)
        m_withdrawnAt[voter] = calledAt;
}

bool LeaseKeeper::reachesOthers(TimePoint now) const
{
    return m_candidates.size() < 3 || now - m_reachedOtherAt <= m_rules.silenceLimit;
}

std::string LeaseKeeper::challengedProcess() const
{
    const bool isChallenged
        = m_isKnown && !isVacant() && !isOwn(m_lease) && m_silentSince && turn();
    return isChallenged && !m_lease.voters.empty() ? m_lease.incarnation : std::string();
}

TimePoint LeaseKeeper::withdrawnUntil() const
{
    std::vector<TimePoint> times;
    for (const std::string &voter : m_lease.voters) {
        if (const auto at = m_withdrawnAt.find(voter); at != m_withdrawnAt.end())
            times.push_back(at->second);
    }
    const std::size_t needed = withdrawalsNeeded(m_lease.voters.size());
    if (times.size() < needed)
        return TimePoint();
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[needed - 1] + m_rules.withdrawalLifetime;
}

bool LeaseKeeper::isTakeoverDue(TimePoint now) const
{
    // The write took effect, but its reply was lost.
    if (isOwn(m_lease))
        return true;
    const auto ownTurn = turn();
    if (!ownTurn)
        return false;
    const auto wait = static_cast<std::int64_t>(*ownTurn) * m_rules.turn;
    if (isVacant()) {
        const Duration retakeTime = m_isIsolated ? m_rules.isolatedSilenceLimit
            : m_isLost                           ? m_rules.retakeTime
                                                 : Duration::zero();
        return m_mayRetake || now >= m_changedAt + retakeTime + wait;
    }
    if (m_lease.holder == m_self.host || m_hasHolderEnded)
        return true;
    if (m_silentSince && now <= withdrawnUntil())
        return true;
    if (m_replacedAt && now - *m_replacedAt < m_rules.replacedPause)
        return false;
    // A process that is cut off itself must not take the lease from a holder that others reach.
    const Duration limit = m_isIsolated ? m_rules.isolatedSilenceLimit
        : m_lease.voters.empty()        ? m_rules.silenceLimit
                                        : m_rules.votedSilenceLimit;
    return reachesOthers(now) && m_silentSince && now - *m_silentSince >= limit;
}

TakeoverBasis LeaseKeeper::basis(TimePoint now) const
{
    if (m_isLost)
        return m_mayRetake ? TakeoverBasis::SameHost : TakeoverBasis::Wait;
    if (isVacant())
        return TakeoverBasis::Vacant;
    if (isOwn(m_lease))
        return m_hasYielded ? TakeoverBasis::SameHost : TakeoverBasis::Wait;
    if (m_lease.holder == m_self.host)
        return TakeoverBasis::SameHost;
    if (m_hasHolderEnded)
        return TakeoverBasis::Stated;
    return now <= withdrawnUntil() ? TakeoverBasis::Withdrawn : TakeoverBasis::Wait;
}

std::optional<Lease> LeaseKeeper::beginWrite(TimePoint now)
{
    if (!m_isKnown || m_isWriting || m_isReleased || m_grantsFrom || !isTakeoverDue(now))
        return std::nullopt;
    m_isWriting = true;
    m_basis = basis(now);
    m_basisUntil = withdrawnUntil();
    m_writeEra = m_era;
    return Lease{m_self.host, m_self.incarnation, m_lease.term + 1, m_lease.revision,
                 m_era,       m_nextVoters};
}

std::optional<Lease> LeaseKeeper::beginRenewal(const std::vector<std::string> &voters)
{
    if (m_isWriting || m_isReleased || !m_grantsFrom || !isOwn(m_lease))
        return std::nullopt;
    m_isWriting = true;
    m_isRenewing = true;
    m_writeEra = m_era;
    m_pendingVoters.push_back(voters);
    Lease renewed = m_lease;
    renewed.voters = voters;
    return renewed;
}

void LeaseKeeper::onWritten(const std::optional<Lease> &lease, TimePoint now)
{
    m_isWriting = false;
    const bool isRenewal = std::exchange(m_isRenewing, false);
    if (!lease)
        return;
    // The watch may have reported a successor before this reply arrived.
    if (lease->revision < m_lease.revision)
        return;
    // What the write was based on no longer holds if the store has returned from an older copy.
    if (m_writeEra != m_era || storeEraOf(lease->revision) != m_era)
        return;
    m_lease = *lease;
    m_pendingVoters.clear();
    if (m_isReleased || isRenewal)
        return;
    m_hasYielded = false;
    m_grantsFrom = now;
    m_proofFrom = TimePoint();
    // Nobody else has written a lost lease in this era, so only holders of earlier eras matter,
    // whose proofs are older than the era.
    if (m_basis == TakeoverBasis::Withdrawn && now > m_basisUntil)
        m_basis = TakeoverBasis::Wait;
    if (m_basis == TakeoverBasis::Wait) {
        m_grantsFrom = std::max(now, (m_isLost ? m_eraSince : now) + m_rules.proofLimit);
        m_proofFrom = *m_grantsFrom;
    }
    m_isLost = false;
    m_mayRetake = false;
}

void LeaseKeeper::yield()
{
    if (!m_grantsFrom)
        return;
    m_grantsFrom.reset();
    m_hasYielded = true;
}

std::optional<Lease> LeaseKeeper::release()
{
    m_isReleased = true;
    m_grantsFrom.reset();
    if (!isOwn(m_lease))
        return std::nullopt;
    return Lease{"", "", m_lease.term + 1, m_lease.revision, m_era};
}

std::string LeaseKeeper::hostToProbe() const
{
    return turn() && !isOwn(m_lease) ? m_lease.holder : std::string();
}

GrantState LeaseKeeper::grantState(TimePoint provenAt, TimePoint now) const
{
    if (!m_grantsFrom)
        return GrantState::NotHolder;
    if (now < *m_grantsFrom || provenAt < m_proofFrom)
        return GrantState::Waiting;
    if (now - provenAt > m_rules.proofLimit)
        return GrantState::NoProof;
    const bool hasVotes = m_votes.suffice(m_lease.voters, now)
        && std::all_of(m_pendingVoters.begin(), m_pendingVoters.end(),
                       [&](const auto &voters) { return m_votes.suffice(voters, now); });
    return hasVotes ? GrantState::Granting : GrantState::NoVotes;
}

} // namespace gwt
