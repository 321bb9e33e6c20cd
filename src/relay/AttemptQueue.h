#pragma once

#include "common/Time.h"
#include "control/ConfigObjects.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory_resource>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace gwt {

using AttemptId = std::uint64_t;

/// \brief An attempt of a search or booking that waits for a slot of its service.
struct QueuedAttempt
{
    AttemptId id = 0;
    std::string rank;
    double worth = 1;
    double floorShare = 0; ///< share of slot time guaranteed to the rank under overload, 0 to 1
    TimePoint deadline;
    TimePoint arrival; ///< when it was queued
    bool isExtra = false; ///< a hedge or a retry: precedes first attempts of its rank
    std::string excludedReplica; ///< replica that must not be picked; empty if any may

    /// \brief An attempt of the rank \a name; \a rank is null if it is not configured.
    static QueuedAttempt of(const std::string &name, const Rank *rank, TimePoint deadline);
};

/// \brief The order in which queued attempts get slots.
enum class QueueOrder {
    Ranked, ///< by worth, with guaranteed floor shares
    Fifo ///< by arrival; a baseline for comparison
};

/// \brief Priority queue of the attempts of one service. Has no I/O and reads no clock.
///
/// The rank of highest worth goes first, in order of arrival within a rank. Each grant credits
/// every rank that has queued attempts with its floor share of the granted slot time; a rank whose
/// credit covers one of its own attempts goes before all others. Ranks with an empty queue earn no
/// credit, so other ranks use their floor shares. A decision costs O(ranks); memory is pooled, so
/// the steady state allocates nothing.
class AttemptQueue
{
public:
    using EligibilityCheck = std::function<bool(const QueuedAttempt &)>;

    explicit AttemptQueue(QueueOrder order = QueueOrder::Ranked);

    void push(QueuedAttempt attempt);
    /// \brief Removes \a id in constant time; false if it is not queued.
    bool remove(AttemptId id);
    /// \brief Removes and returns the attempt that gets the next free slot.
    ///
    /// Only attempts for which \a isEligible holds are considered. Expired attempts are removed
    /// and their ids added to \a expired.
    std::optional<QueuedAttempt> pop(TimePoint now, const EligibilityCheck &isEligible,
                                     std::vector<AttemptId> &expired);
    /// \brief Records how long an attempt of \a rank held its slot. Floor shares are accounted in
    /// slot time.
    void recordSlotTime(const std::string &rank, Duration slotTime);
    std::size_t size() const { return m_index.size(); }

private:
    struct Entry
    {
        QueuedAttempt attempt;
        std::uint64_t sequence = 0;
        std::size_t rank = 0; ///< position in m_ranks
    };
    using Entries = std::pmr::list<Entry>;

    struct RankQueue
    {
        std::string name;
        double worth = 1;
        double floorShare = 0;
        Duration slotTime{}; ///< moving mean
        Duration credit{}; ///< accumulated floor share
        Entries extras;
        Entries regular;

        explicit RankQueue(std::pmr::memory_resource *memory)
            : extras(memory)
            , regular(memory)
        { }
        bool isEmpty() const { return extras.empty() && regular.empty(); }
    };

    RankQueue &rankQueue(const std::string &name);
    void dropExpired(Entries &entries, TimePoint now, std::vector<AttemptId> &expired);
    std::optional<Entries::iterator> firstEligible(RankQueue &rank, TimePoint now,
                                                   const EligibilityCheck &isEligible);
    bool precedes(const Entry &a, const Entry &b) const;
    void settleCredits(RankQueue &granted);

    const QueueOrder m_order;
    std::pmr::unsynchronized_pool_resource m_memory;
    std::vector<RankQueue> m_ranks;
    std::pmr::unordered_map<AttemptId, Entries::iterator> m_index;
    std::uint64_t m_nextSequence = 0;
};

} // namespace gwt
