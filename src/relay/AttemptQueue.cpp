#include "relay/AttemptQueue.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr Milliseconds initialSlotTime{10};
constexpr int slotTimeWeight = 16; ///< the newest sample has weight 1/slotTimeWeight
constexpr int maxCreditAttempts = 2; ///< cap on a rank's credit, in its own attempts
constexpr int maxExtrasScanned = 16;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(duration) * factor);
}

} // namespace

QueuedAttempt QueuedAttempt::of(const std::string &name, const Rank *rank, TimePoint deadline)
{
    QueuedAttempt attempt;
    attempt.rank = name;
    attempt.deadline = deadline;
    if (!rank)
        return attempt;
    attempt.worth = rank->worth;
    attempt.floorShare = rank->floorShare;
    return attempt;
}

AttemptQueue::AttemptQueue(QueueOrder order)
    : m_order(order)
    , m_index(&m_memory)
{ }

AttemptQueue::RankQueue &AttemptQueue::rankQueue(const std::string &name)
{
    const auto found = std::find_if(m_ranks.begin(), m_ranks.end(),
                                    [&](const RankQueue &rank) { return rank.name == name; });
    if (found != m_ranks.end())
        return *found;
    RankQueue &added = m_ranks.emplace_back(&m_memory);
    added.name = name;
    added.slotTime = initialSlotTime;
    return added;
}

void AttemptQueue::push(QueuedAttempt attempt)
{
    RankQueue &rank = rankQueue(attempt.rank);
    rank.worth = attempt.worth;
    rank.floorShare = attempt.floorShare;
    const AttemptId id = attempt.id;
    Entries &entries = attempt.isExtra ? rank.extras : rank.regular;
    const auto position = static_cast<std::size_t>(&rank - m_ranks.data());
    entries.push_back({std::move(attempt), m_nextSequence++, position});
    m_index.emplace(id, std::prev(entries.end()));
}

bool AttemptQueue::remove(AttemptId id)
{
    const auto found = m_index.find(id);
    if (found == m_index.end())
        return false;
    const Entries::iterator entry = found->second;
    RankQueue &rank = m_ranks[entry->rank];
    (entry->attempt.isExtra ? rank.extras : rank.regular).erase(entry);
    m_index.erase(found);
    return true;
}

void AttemptQueue::dropExpired(Entries &entries, TimePoint now, std::vector<AttemptId> &expired)
{
    while (!entries.empty() && entries.front().attempt.deadline <= now) {
        expired.push_back(entries.front().attempt.id);
        m_index.erase(entries.front().attempt.id);
        entries.pop_front();
    }
}

std::optional<AttemptQueue::Entries::iterator>
AttemptQueue::firstEligible(RankQueue &rank, TimePoint now, const EligibilityCheck &isEligible)
{
    int scanned = 0;
    for (auto extra = rank.extras.begin(); extra != rank.extras.end(); ++extra) {
        if (extra->attempt.deadline > now && isEligible(extra->attempt))
            return extra;
        if (++scanned == maxExtrasScanned)
            break;
    }
    if (!rank.regular.empty() && isEligible(rank.regular.front().attempt))
        return rank.regular.begin();
    return std::nullopt;
}

bool AttemptQueue::precedes(const Entry &a, const Entry &b) const
{
    if (m_order == QueueOrder::Fifo)
        return a.sequence < b.sequence;
    const RankQueue &first = m_ranks[a.rank];
    const RankQueue &second = m_ranks[b.rank];
    const bool isFirstEntitled = first.credit >= first.slotTime;
    const bool isSecondEntitled = second.credit >= second.slotTime;
    if (isFirstEntitled != isSecondEntitled)
        return isFirstEntitled;
    if (isFirstEntitled && first.credit != second.credit)
        return first.credit > second.credit;
    return first.worth > second.worth;
}

std::optional<QueuedAttempt> AttemptQueue::pop(TimePoint now, const EligibilityCheck &isEligible,
                                               std::vector<AttemptId> &expired)
{
    std::optional<Entries::iterator> best;
    for (RankQueue &rank : m_ranks) {
        dropExpired(rank.extras, now, expired);
        dropExpired(rank.regular, now, expired);
        const auto candidate = firstEligible(rank, now, isEligible);
        if (candidate && (!best || precedes(**candidate, **best)))
            best = candidate;
    }
    if (!best)
        return std::nullopt;
    RankQueue &rank = m_ranks[(*best)->rank];
    settleCredits(rank);
    QueuedAttempt attempt = std::move((*best)->attempt);
    m_index.erase(attempt.id);
    (attempt.isExtra ? rank.extras : rank.regular).erase(*best);
    return attempt;
}

void AttemptQueue::settleCredits(RankQueue &granted)
{
    for (RankQueue &rank : m_ranks) {
        if (rank.isEmpty()) {
            rank.credit = Duration::zero();
            continue;
        }
        rank.credit += scaled(granted.slotTime, rank.floorShare);
        rank.credit = std::min(rank.credit, rank.slotTime * maxCreditAttempts);
    }
    granted.credit = std::max(granted.credit - granted.slotTime, Duration::zero());
}

void AttemptQueue::recordSlotTime(const std::string &rank, Duration slotTime)
{
    Duration &mean = rankQueue(rank).slotTime;
    mean += (slotTime - mean) / slotTimeWeight;
    mean = std::max(mean, Duration(1));
}

} // namespace gwt
