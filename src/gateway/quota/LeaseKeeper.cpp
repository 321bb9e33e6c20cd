#include "gateway/quota/LeaseKeeper.h"

#include "common/StoreRevision.h"

#include <algorithm>

namespace gwt {

LeaseKeeper::LeaseKeeper(LeaseRules rules, Identity self, std::size_t preference)
    : m_rules(rules)
    , m_self(std::move(self))
    , m_preference(preference)
{ }

void LeaseKeeper::setCandidates(std::vector<std::string> candidates)
{
    m_candidates = std::move(candidates);
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
        m_silentSince = m_silentSince.value_or(now);
        return;
    case ProbeResult::Ended:
        m_hasHolderEnded = true;
        return;
    }
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
        const Duration retakeTime = m_isLost ? m_rules.retakeTime : Duration::zero();
        return m_mayRetake || now >= m_changedAt + retakeTime + wait;
    }
    if (m_lease.holder == m_self.host || m_hasHolderEnded)
        return true;
    if (m_replacedAt && now - *m_replacedAt < m_rules.replacedPause)
        return false;
    // A process that is cut off itself must not take the lease from a holder that others reach.
    const bool reachesOthers
        = m_candidates.size() < 3 || now - m_reachedOtherAt <= m_rules.silenceLimit;
    return reachesOthers && m_silentSince && now - *m_silentSince >= m_rules.silenceLimit;
}

bool LeaseKeeper::needsWait() const
{
    if (m_isLost)
        return !m_mayRetake;
    if (isVacant())
        return false;
    const bool isFormerProcess
        = m_lease.holder == m_self.host && m_lease.incarnation != m_self.incarnation;
    return !m_hasHolderEnded && !isFormerProcess && !(isOwn(m_lease) && m_hasYielded);
}

std::optional<Lease> LeaseKeeper::beginWrite(TimePoint now)
{
    if (!m_isKnown || m_isWriting || m_isReleased || m_grantsFrom || !isTakeoverDue(now))
        return std::nullopt;
    m_isWriting = true;
    m_needsWait = needsWait();
    m_writeEra = m_era;
    return Lease{m_self.host, m_self.incarnation, m_lease.term + 1, m_lease.revision, m_era};
}

void LeaseKeeper::onWritten(const std::optional<Lease> &lease, TimePoint now)
{
    m_isWriting = false;
    if (!lease)
        return;
    // The watch may have reported a successor before this reply arrived.
    if (lease->revision < m_lease.revision)
        return;
    // What the write was based on no longer holds if the store has returned from an older copy.
    if (m_writeEra != m_era || storeEraOf(lease->revision) != m_era)
        return;
    m_lease = *lease;
    if (m_isReleased)
        return;
    m_hasYielded = false;
    m_grantsFrom = now;
    m_proofFrom = TimePoint();
    // Nobody else has written a lost lease in this era, so only holders of earlier eras matter,
    // whose proofs are older than the era.
    if (m_needsWait)
        m_grantsFrom = std::max(now, (m_isLost ? m_eraSince : now) + m_rules.proofLimit);
    if (m_needsWait)
        m_proofFrom = *m_grantsFrom;
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

bool LeaseKeeper::mayGrant(TimePoint provenAt, TimePoint now) const
{
    return m_grantsFrom && now >= *m_grantsFrom && provenAt >= m_proofFrom
        && now - provenAt <= m_rules.proofLimit;
}

} // namespace gwt
