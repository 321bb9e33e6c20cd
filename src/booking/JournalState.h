#pragma once

#include "common/Outcome.h"
#include "common/Time.h"

#include <journal.pb.h>
#include <peer.pb.h>

#include <map>
#include <string>
#include <vector>

namespace gwt {

/// \brief Milliseconds since 1970 by the system clock; used for retention only.
using WallTime = Milliseconds;

/// \brief Parses a journal object; times beyond the year 9999 are clamped to its end.
///
/// Errors: Malformed "bad_journal".
Outcome<wire::BookingJournal> readJournal(const std::string &content);

/// \brief Action on a booking request.
enum class BookingDecision {
    Run, ///< no earlier attempt for the key ran or may have run
    ReplyFromRecord, ///< reply from the record
    AttemptRefused, ///< this attempt was refused; the request is a late copy of it
    KeyReused, ///< the key was used with another body
    TooManyAttempts
};

/// \brief Decides how to handle \a request; \a record is that of its key, nullptr if none.
BookingDecision decideBooking(const wire::BookingRecord *record, const wire::BookRequest &request);

/// \brief Limits of one range's journal.
struct JournalLimits
{
    Milliseconds retention{0}; ///< how long a record with an outcome is kept
    std::size_t maxBytes = 1'000'000; ///< of the journal object
};

/// \brief Longest result stored to answer retries of a key, in bytes.
inline constexpr std::size_t maxKeptResultBytes = 16'384;

/// \brief The in-memory records of one range's journal. Does no I/O and reads no clock.
class JournalState
{
public:
    explicit JournalState(JournalLimits limits)
        : m_limits(limits)
    { }

    const wire::BookingRecord *find(const std::string &key) const;
    void put(wire::BookingRecord record);
    /// \brief True if \a record fits, with space reserved for the outcomes of all SENT records.
    bool hasRoomFor(const wire::BookingRecord &record) const;
    /// \brief Drops the records whose outcome is older than the retention time.
    void dropExpired(WallTime now);
    /// \brief Replaces all records by those of \a journal.
    void load(const wire::BookingJournal &journal);
    void appendTo(wire::BookingJournal &journal) const;
    void clear();

    std::size_t size() const { return m_records.size(); }
    /// \brief Records without an outcome, in order of key.
    std::vector<wire::BookingRecord> unsettled() const;

private:
    const JournalLimits m_limits;
    std::map<std::string, wire::BookingRecord> m_records;
    std::size_t m_bytes = 0; ///< of all records, with the space reserved for outcomes
};

} // namespace gwt
