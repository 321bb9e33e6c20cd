#pragma once

#include "booking/ActiveKeys.h"
#include "booking/BookingOptions.h"
#include "booking/JournalState.h"
#include "common/Endpoint.h"
#include "common/Metrics.h"
#include "common/Outcome.h"
#include "platform/ObjectStore.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gwt {

/// \brief A daemon that holds ranges: its id, peer address and process id.
struct RangeHolder
{
    std::string id;
    Endpoint peerAddress;
    std::string process; ///< unique per start of the daemon

    RangeHolder(std::string holderId, Endpoint address);
};

/// \brief Returns whether a range may be taken over from the holder with this id.
using TakeoverPredicate = std::function<bool(const std::string &holder)>;

/// \brief Counter that increases each time a range is acquired, released or lost.
using RangeEpoch = std::uint64_t;

/// \brief One range of booking keys and its journal.
///
/// The conditional update of the journal is both lease and fence: a holder whose update conflicts
/// has lost the range and stops serving it. All functions except isHeld() run on the range's
/// strand.
class BookingRange : public std::enable_shared_from_this<BookingRange>
{
public:
    BookingRange(Executor strand, ObjectStore &store, Metrics &metrics, int range, RangeHolder self,
                 BookingOptions options, TakeoverPredicate mayTakeOver);

    const Executor &strand() const { return m_strand; }
    bool isHeld() const { return m_isHeld; }
    RangeEpoch epoch() const { return m_epoch; }
    const std::string &journal() const { return m_key; }

    /// \brief Acquires the range by a conditional update of its journal, unless already held.
    ///
    /// Errors: Conflict "held_by_other" with the holder's address as detail; Timeout
    /// "range_not_acquired"; those of ObjectStore.
    Task<Outcome<Done>> acquire(TimePoint deadline);
    /// \brief Acquires a range without a live holder; skips one never held or without records.
    ///
    /// Errors as acquire(), and Unavailable "acquire_in_progress" while a request acquires the
    /// range; that request may still give up.
    Task<Outcome<Done>> adoptAbandoned(TimePoint deadline);
    /// \brief Releases the range; false if a booking, write or acquisition is in progress.
    Task<bool> release(TimePoint deadline);
    /// \brief Drops the cached holder, e.g. as it is unreachable; acquire() then reads the journal.
    void clearCachedHolder() { m_cachedHolder.reset(); }

    /// \brief The record of \a key; nullptr if there is none.
    const wire::BookingRecord *find(const std::string &key) const { return m_records.find(key); }
    ActiveKeys &activeKeys() { return m_active; }
    bool hasRoomFor(const wire::BookingRecord &record) const
    {
        return m_records.hasRoomFor(record);
    }

    /// \brief Writes \a record to the journal, in one batch with other queued records.
    ///
    /// find() returns the record as soon as it is queued. Errors: Conflict "range_lost" (not
    /// written, the range is lost); Unknown "range_lost_in_doubt" (lost, the write may have taken
    /// effect); Timeout "journal_not_written" (the write is retried and may still take effect).
    Task<Outcome<Done>> commit(wire::BookingRecord record, RangeEpoch epoch, TimePoint deadline);
    /// \brief Writes the outcome of a record that is SENT by the same attempt, in any epoch.
    ///
    /// Errors as commit().
    Task<Outcome<Done>> commitOutcome(wire::BookingRecord record, TimePoint deadline);
    /// \brief Verifies by a conditional update that the range is still held. Errors as commit().
    Task<Outcome<Done>> verifyHeld(TimePoint deadline);

    std::size_t size() const { return m_records.size(); }
    std::vector<wire::BookingRecord> unsettled() const { return m_records.unsettled(); }

private:
    using Waiter = OneShot<Outcome<Done>>;

    /// \brief A journal as read, and the object version for its next conditional update.
    struct JournalSnapshot
    {
        wire::BookingJournal journal;
        ObjectVersion version = 0;
    };

    Task<Outcome<JournalSnapshot>> read(TimePoint deadline);
    Task<Outcome<Done>> tryAcquire(bool onlyAbandoned, TimePoint deadline);
    Task<Outcome<Done>> claim(JournalSnapshot snapshot, TimePoint deadline);
    Task<Outcome<Done>> resolveClaimConflict(std::uint64_t sequence, TimePoint deadline);
    bool isOwnWrite(const wire::BookingJournal &journal, std::uint64_t sequence) const;
    /// \brief Caches the holder that \a journal names and returns the error "held_by_other".
    Error cacheHolder(const wire::BookingJournal &journal);
    Task<Outcome<Done>> awaitWrite(TimePoint deadline);
    Task<void> writeLoop();
    Task<Outcome<Done>> writeBatch(std::vector<Waiter> &batch);
    Task<Outcome<Done>> resolveWriteConflict();
    std::string serialize();
    wire::BookingJournal header(const std::string &holder) const;
    void becomeHolder(const JournalSnapshot &snapshot);
    void markLost();
    void incrementCounter(const char *name, const char *help);

    const Executor m_strand;
    ObjectStore &m_store;
    Metrics &m_metrics;
    const std::string m_key;
    const RangeHolder m_self;
    const BookingOptions m_options;
    const TakeoverPredicate m_mayTakeOver;
    std::atomic<bool> m_isHeld = false;
    bool m_isDirty = false; ///< a write is queued
    bool m_isWriting = false;
    bool m_isAcquiring = false;
    ObjectVersion m_version = 0;
    std::uint64_t m_sequence = 0;
    RangeEpoch m_epoch = 0;
    JournalState m_records;
    ActiveKeys m_active;
    std::vector<Waiter> m_waiters;

    /// \brief The holder last read from the journal, cached for a limited time.
    struct CachedHolder
    {
        std::string id;
        std::string address;
        TimePoint until;
    };
    std::optional<CachedHolder> m_cachedHolder;
    Duration m_holderCacheTime{0}; ///< lifetime of the cached holder; doubles with each conflict
};

} // namespace gwt
