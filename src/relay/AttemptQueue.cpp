#include "relay/AttemptQueue.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr Milliseconds initialSlotTime{10};
constexpr int slotTimeWeight = 16; ///< the newest sample has weight 1/slotTimeWeight
constexpr int maxCreditLegs = 2; ///< cap on a rank's credit, in its own attempts
constexpr int maxExtrasScanned = 16;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(duration) * factor);
}

} // namespace

QueuedAttempt QueuedAttempt::of(const std::string &name, const Rank *rank, TimePoint deadline)
{
    QueuedAttempt leg;
    leg.rank = name;
    leg.deadline = deadline;
    if (!rank)
        return leg;
    leg.worth = rank->worth;
    leg.floorShare = rank->floorShare;
    return leg;
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

void AttemptQueue::push(QueuedAttempt leg)
{
    RankQueue &rank = rankQueue(leg.rank);
    rank.worth = leg.worth;
    rank.floorShare = leg.floorShare;
    const AttemptId id = leg.id;
    Entries &entries = leg.isExtra ? rank.extras : rank.legs;
    const auto position = static_cast<std::size_t>(&rank - m_ranks.data());
    entries.push_back({std::move(leg), m_nextSequence++, position});
    m_index.emplace(id, std::prev(entries.end()));
}

bool AttemptQueue::remove(AttemptId id)
{
    const auto found = m_index.find(id);
    if (found == m_index.end())
        return false;
    const Entries::iterator entry = found->second;
    RankQueue &rank = m_ranks[entry->rank];
    (entry->leg.isExtra ? rank.extras : rank.legs).erase(entry);
    m_index.erase(found);
    return true;
}

void AttemptQueue::dropExpired(Entries &entries, TimePoint now, std::vector<AttemptId> &expired)
{
    while (!entries.empty() && entries.front().leg.deadline <= now) {
        expired.push_back(entries.front().leg.id);
        m_index.erase(entries.front().leg.id);
        entries.pop_front();
    }
}

std::optional<AttemptQueue::Entries::iterator>
AttemptQueue::firstPlaceable(RankQueue &rank, TimePoint now, const Placeable &isEligible)
{
    int scanned = 0;
    for (auto extra = rank.extras.begin(); extra != rank.extras.end(); ++extra) {
        if (extra->leg.deadline > now && isEligible(extra->leg))
            return extra;
        if (++scanned == maxExtrasScanned)
            break;
    }
    if (!rank.legs.empty() && isEligible(rank.legs.front().leg))
        return rank.legs.begin();
    return std::nullopt;
}

bool AttemptQueue::goesBefore(const Entry &a, const Entry &b) const
{
    if (m_order == QueueOrder::Fifo)
        return a.sequence < b.sequence;
    const RankQueue &first = m_ranks[a.rank];
    const RankQueue &second = m_ranks[b.rank];
    const bool isFirstOwed = first.credit >= first.slotTime;
    const bool isSecondOwed = second.credit >= second.slotTime;
    if (isFirstOwed != isSecondOwed)
        return isFirstOwed;
    if (isFirstOwed && first.credit != second.credit)
        return first.credit > second.credit;
    return first.worth > second.worth;
}

std::optional<QueuedAttempt> AttemptQueue::pop(TimePoint now, const Placeable &isEligible,
                                               std::vector<AttemptId> &expired)
{
    std::optional<Entries::iterator> best;
    for (RankQueue &rank : m_ranks) {
        dropExpired(rank.extras, now, expired);
        dropExpired(rank.legs, now, expired);
        const auto candidate = firstPlaceable(rank, now, isEligible);
        if (candidate && (!best || goesBefore(**candidate, **best)))
            best = candidate;
    }
    if (!best)
        return std::nullopt;
    RankQueue &rank = m_ranks[(*best)->rank];
    charge(rank);
    QueuedAttempt leg = std::move((*best)->leg);
    m_index.erase(leg.id);
    (leg.isExtra ? rank.extras : rank.legs).erase(*best);
    return leg;
}

void AttemptQueue::charge(RankQueue &granted)
{
    for (RankQueue &rank : m_ranks) {
        if (rank.isEmpty()) {
            rank.credit = Duration::zero();
            continue;
        }
        rank.credit += scaled(granted.slotTime, rank.floorShare);
        rank.credit = std::min(rank.credit, rank.slotTime * maxCreditLegs);
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
