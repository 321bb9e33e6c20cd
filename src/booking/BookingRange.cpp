#include "booking/BookingRange.h"

#include "common/Log.h"
#include "common/Random.h"
#include "common/Sleep.h"
#include "control/BookingKeys.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr Milliseconds storeTimeout{1000};
constexpr Milliseconds minRetryDelay{50};
constexpr Milliseconds maxRetryDelay{500};
constexpr Milliseconds minHolderCacheTime{100};
constexpr Milliseconds maxHolderCacheTime{5000};

bool mayHaveTakenEffect(const Error &error)
{
    return error.code == ErrorCode::Unknown || error.code == ErrorCode::Timeout
        || error.code == ErrorCode::Malformed || error.code == ErrorCode::Cancelled;
}

WallTime wallTime()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<WallTime>(now);
}

} // namespace

RangeHolder::RangeHolder(std::string holderId, Endpoint address)
    : id(std::move(holderId))
    , peerAddress(std::move(address))
    , process(makeUniqueId())
{ }

BookingRange::BookingRange(Executor strand, ObjectStore &store, Metrics &metrics, int range,
                           RangeHolder self, BookingOptions options, TakeoverPredicate mayTakeOver)
    : m_strand(std::move(strand))
    , m_store(store)
    , m_metrics(metrics)
    , m_key(journalKey(range))
    , m_self(std::move(self))
    , m_options(options)
    , m_mayTakeOver(std::move(mayTakeOver))
    , m_records(JournalLimits{options.retention})
{ }

void BookingRange::incrementCounter(const char *name, const char *help)
{
    m_metrics.counter(name, help).Increment();
}

Task<Outcome<BookingRange::JournalSnapshot>> BookingRange::read(TimePoint deadline)
{
    const Outcome<StoredObject> stored = co_await m_store.get(m_key, deadline);
    JournalSnapshot snapshot;
    if (!isOk(stored) && errorOf(stored).code == ErrorCode::NotFound)
        co_return snapshot;
    if (!isOk(stored))
        co_return errorOf(stored);
    Outcome<wire::BookingJournal> journal = readJournal(valueOf(stored).value);
    if (!isOk(journal))
        co_return errorOf(journal);
    snapshot.journal = std::move(valueOf(journal));
    snapshot.version = valueOf(stored).version;
    co_return snapshot;
}

Task<Outcome<Done>> BookingRange::acquire(TimePoint deadline)
{
    const auto self = shared_from_this();
    while (m_isAcquiring && !m_isHeld) {
        if (Clock::now() >= deadline)
            co_return Error{ErrorCode::Timeout, "range_not_acquired", m_key};
        co_await sleepFor(minRetryDelay);
    }
    if (m_isHeld)
        co_return Done{};
    m_isAcquiring = true;
    Outcome<Done> result = co_await tryAcquire(false, deadline);
    m_isAcquiring = false;
    co_return result;
}

Task<Outcome<Done>> BookingRange::adoptAbandoned(TimePoint deadline)
{
    const auto self = shared_from_this();
    if (m_isHeld)
        co_return Done{};
    if (m_isAcquiring)
        co_return Error{ErrorCode::Unavailable, "acquire_in_progress", m_key};
    m_isAcquiring = true;
    Outcome<Done> result = co_await tryAcquire(true, deadline);
    m_isAcquiring = false;
    co_return result;
}

Task<Outcome<Done>> BookingRange::tryAcquire(bool onlyAbandoned, TimePoint deadline)
{
    const bool isHolderCached = m_cachedHolder && Clock::now() < m_cachedHolder->until
        && !m_mayTakeOver(m_cachedHolder->id);
    if (isHolderCached)
        co_return Error{ErrorCode::Conflict, "held_by_other", m_cachedHolder->address};
    Outcome<JournalSnapshot> snapshot = co_await read(deadline);
    if (!isOk(snapshot))
        co_return errorOf(snapshot);
    const wire::BookingJournal &journal = valueOf(snapshot).journal;
    if (onlyAbandoned && journal.records().empty())
        co_return Done{};
    const bool isFree = journal.holder().empty() || journal.holder() == m_self.id;
    if (!isFree && !m_mayTakeOver(journal.holder()))
        co_return cacheHolder(journal);
    co_return co_await claim(std::move(valueOf(snapshot)), deadline);
}

Error BookingRange::cacheHolder(const wire::BookingJournal &journal)
{
    m_holderCacheTime
        = std::clamp<Duration>(m_holderCacheTime * 2, minHolderCacheTime, maxHolderCacheTime);
    m_cachedHolder = CachedHolder{journal.holder(), journal.holder_address(),
                                  Clock::now() + m_holderCacheTime};
    return {ErrorCode::Conflict, "held_by_other", journal.holder_address()};
}

bool BookingRange::isOwnWrite(const wire::BookingJournal &journal, std::uint64_t sequence) const
{
    return journal.writer() == m_self.process && journal.sequence() == sequence;
}

Task<Outcome<Done>> BookingRange::claim(JournalSnapshot snapshot, TimePoint deadline)
{
    const std::uint64_t sequence = snapshot.journal.sequence() + 1;
    snapshot.journal.set_holder(m_self.id);
    snapshot.journal.set_holder_address(toString(m_self.peerAddress));
    snapshot.journal.set_writer(m_self.process);
    snapshot.journal.set_sequence(sequence);
    const std::string content = snapshot.journal.SerializeAsString();
    while (true) {
        const Outcome<ObjectVersion> written
            = co_await m_store.put(m_key, content, snapshot.version, deadline);
        if (isOk(written)) {
            snapshot.version = valueOf(written);
            becomeHolder(snapshot);
            co_return Done{};
        }
        if (errorOf(written).code == ErrorCode::Conflict)
            co_return co_await resolveClaimConflict(sequence, deadline);
        if (Clock::now() >= deadline)
            co_return errorOf(written);
        co_await sleepFor(minRetryDelay);
    }
}

Task<Outcome<Done>> BookingRange::resolveClaimConflict(std::uint64_t sequence, TimePoint deadline)
{
    // An earlier try may have taken effect; the journal shows whether it did.
    const Outcome<JournalSnapshot> snapshot = co_await read(deadline);
    if (!isOk(snapshot))
        co_return errorOf(snapshot);
    if (isOwnWrite(valueOf(snapshot).journal, sequence)) {
        becomeHolder(valueOf(snapshot));
        co_return Done{};
    }
    co_return cacheHolder(valueOf(snapshot).journal);
}

void BookingRange::becomeHolder(const JournalSnapshot &snapshot)
{
    m_records.load(snapshot.journal);
    m_sequence = snapshot.journal.sequence();
    m_version = snapshot.version;
    m_cachedHolder.reset();
    m_holderCacheTime = {};
    ++m_epoch;
    m_isHeld = true;
    incrementCounter("gwt_booking_takeovers_total", "Ranges acquired by this process");
    logInfo("range_acquired",
            {{"journal", m_key}, {"sequence", m_sequence}, {"records", m_records.size()}});
}

void BookingRange::markLost()
{
    m_isHeld = false;
    ++m_epoch;
    m_records.clear();
    incrementCounter("gwt_booking_losses_total", "Ranges lost to another holder");
    logWarning("range_lost", {{"journal", m_key}, {"sequence", m_sequence}});
}

Task<bool> BookingRange::release(TimePoint deadline)
{
    const auto self = shared_from_this();
    if (!m_isHeld)
        co_return true;
    const bool isBusy = !m_active.isEmpty() || m_isWriting || m_isAcquiring;
    if (isBusy)
        co_return false;
    m_isHeld = false;
    m_isAcquiring = true;
    ++m_epoch;
    ++m_sequence;
    wire::BookingJournal journal = header("");
    m_records.appendTo(journal);
    m_records.clear();
    const Outcome<ObjectVersion> written
        = co_await m_store.put(m_key, journal.SerializeAsString(), m_version, deadline);
    m_isAcquiring = false;
    incrementCounter("gwt_booking_releases_total", "Ranges released");
    logInfo("range_released", {{"journal", m_key}, {"written", isOk(written)}});
    co_return true;
}

Task<Outcome<Done>> BookingRange::commit(wire::BookingRecord record, RangeEpoch epoch,
                                         TimePoint deadline)
{
    if (!m_isHeld || epoch != m_epoch)
        co_return Error{ErrorCode::Conflict, "range_lost", m_key};
    m_records.put(std::move(record));
    co_return co_await awaitWrite(deadline);
}

Task<Outcome<Done>> BookingRange::commitOutcome(wire::BookingRecord record, TimePoint deadline)
{
    const wire::BookingRecord *current = m_isHeld ? find(record.key()) : nullptr;
    const bool isSameAttempt = current && current->state() == wire::BookingRecord::SENT
        && current->attempt() == record.attempt();
    if (!isSameAttempt)
        co_return Error{ErrorCode::Conflict, "range_lost", m_key};
    m_records.put(std::move(record));
    co_return co_await awaitWrite(deadline);
}

Task<Outcome<Done>> BookingRange::verifyHeld(TimePoint deadline)
{
    if (!m_isHeld)
        co_return Error{ErrorCode::Conflict, "range_lost", m_key};
    co_return co_await awaitWrite(deadline);
}

Task<Outcome<Done>> BookingRange::awaitWrite(TimePoint deadline)
{
    const auto self = shared_from_this();
    const Waiter waiter;
    m_waiters.push_back(waiter);
    m_isDirty = true;
    if (!m_isWriting) {
        m_isWriting = true;
        spawn(m_strand, writeLoop());
    }
    co_return co_await waiter.waitUntil(deadline,
                                        Error{ErrorCode::Timeout, "journal_not_written", m_key});
}

wire::BookingJournal BookingRange::header(const std::string &holder) const
{
    wire::BookingJournal journal;
    journal.set_holder(holder);
    journal.set_holder_address(holder.empty() ? "" : toString(m_self.peerAddress));
    journal.set_writer(m_self.process);
    journal.set_sequence(m_sequence);
    return journal;
}

std::string BookingRange::serialize()
{
    m_records.dropExpired(wallTime());
    wire::BookingJournal journal = header(m_self.id);
    m_records.appendTo(journal);
    return journal.SerializeAsString();
}

Task<void> BookingRange::writeLoop()
{
    const auto self = shared_from_this();
    while (m_isDirty && m_isHeld) {
        std::vector<Waiter> batch;
        const Outcome<Done> written = co_await writeBatch(batch);
        for (const Waiter &waiter : batch)
            waiter.set(written);
    }
    m_isDirty = false;
    m_isWriting = false;
    for (const Waiter &waiter : std::exchange(m_waiters, {}))
        waiter.set(Error{ErrorCode::Conflict, "range_lost", m_key});
}

Task<Outcome<Done>> BookingRange::writeBatch(std::vector<Waiter> &batch)
{
    bool isInDoubt = false;
    Milliseconds delay = minRetryDelay;
    std::string content;
    while (true) {
        if (!isInDoubt) {
            // No earlier try can still take effect, so the batch may grow by the records queued
            // since.
            batch.insert(batch.end(), m_waiters.begin(), m_waiters.end());
            m_waiters.clear();
            m_isDirty = false;
            ++m_sequence;
            content = serialize();
        }
        incrementCounter("gwt_booking_journal_writes_total", "Attempted journal writes");
        const Outcome<ObjectVersion> written
            = co_await m_store.put(m_key, content, m_version, Clock::now() + storeTimeout);
        if (isOk(written)) {
            m_version = valueOf(written);
            co_return Done{};
        }
        if (errorOf(written).code == ErrorCode::Conflict) {
            if (isInDoubt)
                co_return co_await resolveWriteConflict();
            markLost();
            co_return Error{ErrorCode::Conflict, "range_lost", m_key};
        }
        incrementCounter("gwt_booking_journal_retries_total",
                         "Journal writes that failed or lost their reply");
        isInDoubt = isInDoubt || mayHaveTakenEffect(errorOf(written));
        co_await sleepFor(delay);
        delay = std::min(delay * 2, maxRetryDelay);
    }
}

Task<Outcome<Done>> BookingRange::resolveWriteConflict()
{
    while (true) {
        const Outcome<JournalSnapshot> snapshot = co_await read(Clock::now() + storeTimeout);
        if (isOk(snapshot) && isOwnWrite(valueOf(snapshot).journal, m_sequence)) {
            m_version = valueOf(snapshot).version;
            co_return Done{};
        }
        if (isOk(snapshot)) {
            markLost();
            co_return Error{ErrorCode::Unknown, "range_lost_in_doubt", m_key};
        }
        co_await sleepFor(minRetryDelay);
    }
}

} // namespace gwt
