#include "gateway/quota/LeaseKeeper.h"

#include <algorithm>

namespace gwt {

namespace {

/// The store's era, in the upper bits of its revisions; rises when it returns from an older copy.
std::uint64_t storeEraOf(std::uint64_t revision)
{
    constexpr unsigned revisionBits = 48;
    return revision >> revisionBits;
}

} // namespace

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

void LeaseKeeper::onLease(const std::optional<Lease> &lease, std::uint64_t revision, TimePoint now)
{
    // A listing that is older than this process's own write says nothing about it.
    if (m_isKnown && revision < m_lease.revision)
        return;
    const Lease newest = lease.value_or(Lease{});
    const bool hasChanged = !m_isKnown || newest.holder != m_lease.holder
        || newest.incarnation != m_lease.incarnation || newest.term != m_lease.term;
    const std::string formerHolder = m_lease.holder;
    const bool isReplaced = isOwn(m_lease) && !newest.holder.empty();
    m_isKnown = true;
    m_isFirstEver = !lease && storeEraOf(revision) == 0;
    m_lease = newest;
    if (!isOwn(m_lease))
        m_grantsFrom.reset();
    if (!hasChanged)
        return;
    m_changedAt = now;
    m_replacedAt = isReplaced ? std::optional(now) : std::nullopt;
    m_releasedBy = isVacant() ? formerHolder : std::string();
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
    if (isVacant())
        return now >= m_changedAt + wait;
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
    if (isVacant())
        return m_lease.revision == 0 && !m_isFirstEver;
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
    return Lease{m_self.host, m_self.incarnation, m_lease.term + 1, m_lease.revision};
}

void LeaseKeeper::onWritten(const std::optional<Lease> &lease, TimePoint now)
{
    m_isWriting = false;
    if (!lease)
        return;
    // The watch may have reported a successor before this reply arrived.
    if (lease->revision < m_lease.revision)
        return;
    m_lease = *lease;
    if (m_isReleased)
        return;
    m_hasYielded = false;
    m_grantsFrom = m_needsWait ? now + m_rules.proofLimit : now;
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
    return Lease{"", "", m_lease.term + 1, m_lease.revision};
}

std::string LeaseKeeper::hostToProbe() const
{
    return turn() && !isOwn(m_lease) ? m_lease.holder : std::string();
}

bool LeaseKeeper::mayGrant(TimePoint provenAt, TimePoint now) const
{
    return m_grantsFrom && now >= *m_grantsFrom && now - provenAt <= m_rules.proofLimit;
}

} // namespace gwt
