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
constexpr Milliseconds minBelief{100};
constexpr Milliseconds maxBelief{5000};

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
                           RangeHolder self, BookingOptions options, TakeoverPredicate mayTakeFrom)
    : m_strand(std::move(strand))
    , m_store(store)
    , m_metrics(metrics)
    , m_key(journalKey(range))
    , m_self(std::move(self))
    , m_options(options)
    , m_mayTakeFrom(std::move(mayTakeFrom))
    , m_records(JournalLimits{options.retention})
{ }

void BookingRange::count(const char *name, const char *help)
{
    m_metrics.counter(name, help).Increment();
}

Task<Outcome<BookingRange::ReadJournal>> BookingRange::read(TimePoint deadline)
{
    const Outcome<StoredObject> stored = co_await m_store.get(m_key, deadline);
    ReadJournal seen;
    if (!isOk(stored) && errorOf(stored).code == ErrorCode::NotFound)
        co_return seen;
    if (!isOk(stored))
        co_return errorOf(stored);
    Outcome<wire::BookingJournal> journal = readJournal(valueOf(stored).value);
    if (!isOk(journal))
        co_return errorOf(journal);
    seen.journal = std::move(valueOf(journal));
    seen.version = valueOf(stored).version;
    co_return seen;
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
    Outcome<Done> result = co_await acquireOnce(false, deadline);
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
    Outcome<Done> result = co_await acquireOnce(true, deadline);
    m_isAcquiring = false;
    co_return result;
}

Task<Outcome<Done>> BookingRange::acquireOnce(bool onlyAbandoned, TimePoint deadline)
{
    const bool isBelieved
        = m_knownHolder && Clock::now() < m_knownHolder->until && !m_mayTakeFrom(m_knownHolder->id);
    if (isBelieved)
        co_return Error{ErrorCode::Conflict, "held_by_other", m_knownHolder->address};
    Outcome<ReadJournal> seen = co_await read(deadline);
    if (!isOk(seen))
        co_return errorOf(seen);
    const wire::BookingJournal &journal = valueOf(seen).journal;
    if (onlyAbandoned && journal.records().empty())
        co_return Done{};
    const bool isFree = journal.holder().empty() || journal.holder() == m_self.id;
    if (!isFree && !m_mayTakeFrom(journal.holder()))
        co_return heldBy(journal);
    co_return co_await claim(std::move(valueOf(seen)), deadline);
}

Error BookingRange::heldBy(const wire::BookingJournal &journal)
{
    m_belief = std::clamp<Duration>(m_belief * 2, minBelief, maxBelief);
    m_knownHolder
        = KnownHolder{journal.holder(), journal.holder_address(), Clock::now() + m_belief};
    return {ErrorCode::Conflict, "held_by_other", journal.holder_address()};
}

bool BookingRange::wroteIt(const wire::BookingJournal &seen, std::uint64_t sequence) const
{
    return seen.writer() == m_self.process && seen.sequence() == sequence;
}

Task<Outcome<Done>> BookingRange::claim(ReadJournal seen, TimePoint deadline)
{
    const std::uint64_t sequence = seen.journal.sequence() + 1;
    seen.journal.set_holder(m_self.id);
    seen.journal.set_holder_address(toString(m_self.peerAddress));
    seen.journal.set_writer(m_self.process);
    seen.journal.set_sequence(sequence);
    const std::string content = seen.journal.SerializeAsString();
    while (true) {
        const Outcome<ObjectVersion> written
            = co_await m_store.put(m_key, content, seen.version, deadline);
        if (isOk(written)) {
            seen.version = valueOf(written);
            adopt(seen);
            co_return Done{};
        }
        if (errorOf(written).code == ErrorCode::Conflict)
            co_return co_await settleClaim(sequence, deadline);
        if (Clock::now() >= deadline)
            co_return errorOf(written);
        co_await sleepFor(minRetryDelay);
    }
}

Task<Outcome<Done>> BookingRange::settleClaim(std::uint64_t sequence, TimePoint deadline)
{
    // An earlier try may have taken effect; the journal shows whether it did.
    const Outcome<ReadJournal> seen = co_await read(deadline);
    if (!isOk(seen))
        co_return errorOf(seen);
    if (wroteIt(valueOf(seen).journal, sequence)) {
        adopt(valueOf(seen));
        co_return Done{};
    }
    co_return heldBy(valueOf(seen).journal);
}

void BookingRange::adopt(const ReadJournal &taken)
{
    m_records.load(taken.journal);
    m_sequence = taken.journal.sequence();
    m_version = taken.version;
    m_knownHolder.reset();
    m_belief = {};
    ++m_epoch;
    m_isHeld = true;
    count("gwt_booking_takeovers_total", "Ranges acquired by this process");
    logInfo("range_acquired",
            {{"journal", m_key}, {"sequence", m_sequence}, {"records", m_records.size()}});
}

void BookingRange::lose()
{
    m_isHeld = false;
    ++m_epoch;
    m_records.clear();
    count("gwt_booking_losses_total", "Ranges lost to another holder");
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
    count("gwt_booking_releases_total", "Ranges released");
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

Task<Outcome<Done>> BookingRange::settle(wire::BookingRecord record, TimePoint deadline)
{
    const wire::BookingRecord *known = m_isHeld ? find(record.key()) : nullptr;
    const bool isOwn = known && known->state() == wire::BookingRecord::SENT
        && known->attempt() == record.attempt();
    if (!isOwn)
        co_return Error{ErrorCode::Conflict, "range_lost", m_key};
    m_records.put(std::move(record));
    co_return co_await awaitWrite(deadline);
}

Task<Outcome<Done>> BookingRange::confirm(TimePoint deadline)
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

std::string BookingRange::encode()
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
        std::vector<Waiter> group;
        const Outcome<Done> written = co_await writeGroup(group);
        for (const Waiter &waiter : group)
            waiter.set(written);
    }
    m_isDirty = false;
    m_isWriting = false;
    for (const Waiter &waiter : std::exchange(m_waiters, {}))
        waiter.set(Error{ErrorCode::Conflict, "range_lost", m_key});
}

Task<Outcome<Done>> BookingRange::writeGroup(std::vector<Waiter> &group)
{
    bool mayHaveLanded = false;
    Milliseconds delay = minRetryDelay;
    std::string content;
    while (true) {
        if (!mayHaveLanded) {
            // No earlier try can still take effect, so the batch may grow by the records queued
            // since.
            group.insert(group.end(), m_waiters.begin(), m_waiters.end());
            m_waiters.clear();
            m_isDirty = false;
            ++m_sequence;
            content = encode();
        }
        count("gwt_booking_journal_writes_total", "Attempted journal writes");
        const Outcome<ObjectVersion> written
            = co_await m_store.put(m_key, content, m_version, Clock::now() + storeTimeout);
        if (isOk(written)) {
            m_version = valueOf(written);
            co_return Done{};
        }
        if (errorOf(written).code == ErrorCode::Conflict) {
            if (mayHaveLanded)
                co_return co_await settleConflict();
            lose();
            co_return Error{ErrorCode::Conflict, "range_lost", m_key};
        }
        count("gwt_booking_journal_retries_total",
              "Journal writes that failed or lost their reply");
        mayHaveLanded = mayHaveLanded || mayHaveTakenEffect(errorOf(written));
        co_await sleepFor(delay);
        delay = std::min(delay * 2, maxRetryDelay);
    }
}

Task<Outcome<Done>> BookingRange::settleConflict()
{
    while (true) {
        const Outcome<ReadJournal> seen = co_await read(Clock::now() + storeTimeout);
        if (isOk(seen) && wroteIt(valueOf(seen).journal, m_sequence)) {
            m_version = valueOf(seen).version;
            co_return Done{};
        }
        if (isOk(seen)) {
            lose();
            co_return Error{ErrorCode::Unknown, "range_lost_in_doubt", m_key};
        }
        co_await sleepFor(minRetryDelay);
    }
}

} // namespace gwt
