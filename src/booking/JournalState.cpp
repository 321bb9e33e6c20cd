#include "booking/JournalState.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr int maxRefusedAttempts = 64;
constexpr std::uint64_t maxTimeMs = 253'402'300'799'999; // the end of the year 9999
constexpr std::size_t recordOverheadBytes = 8; // tag and length within the journal
constexpr std::size_t headerBytes = 1024; // holder, address, writer, sequence

std::size_t bytesOf(const wire::BookingRecord &record)
{
    const std::size_t bytes = record.ByteSizeLong() + recordOverheadBytes;
    const bool awaitsOutcome = record.state() == wire::BookingRecord::SENT;
    return awaitsOutcome ? bytes + maxKeptResultBytes : bytes;
}

} // namespace

Outcome<wire::BookingJournal> readJournal(const std::string &content)
{
    wire::BookingJournal journal;
    if (!journal.ParseFromString(content))
        return Error{ErrorCode::Malformed, "bad_journal", ""};
    for (wire::BookingRecord &record : *journal.mutable_records())
        record.set_time_ms(std::min(record.time_ms(), maxTimeMs));
    return journal;
}

BookingDecision decideBooking(const wire::BookingRecord *record, const wire::BookRequest &request)
{
    if (!record)
        return BookingDecision::Run;
    const auto &refused = record->refused_attempts();
    if (std::find(refused.begin(), refused.end(), request.attempt()) != refused.end())
        return BookingDecision::AttemptRefused;
    if (!record->digest().empty() && record->digest() != request.digest())
        return BookingDecision::KeyReused;
    if (record->state() != wire::BookingRecord::NOT_RUN)
        return BookingDecision::ReplyFromRecord;
    return refused.size() < maxRefusedAttempts ? BookingDecision::Run
                                               : BookingDecision::TooManyAttempts;
}

const wire::BookingRecord *JournalState::find(const std::string &key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

void JournalState::put(wire::BookingRecord record)
{
    wire::BookingRecord &stored = m_records[record.key()];
    if (!stored.key().empty())
        m_bytes -= bytesOf(stored);
    stored = std::move(record);
    m_bytes += bytesOf(stored);
}

bool JournalState::hasRoomFor(const wire::BookingRecord &record) const
{
    return m_bytes + bytesOf(record) + headerBytes <= m_limits.maxBytes;
}

void JournalState::dropExpired(WallTime now)
{
    for (auto entry = m_records.begin(); entry != m_records.end();) {
        const wire::BookingRecord &record = entry->second;
        const bool isSettled = record.state() != wire::BookingRecord::SENT;
        const WallTime end = WallTime(record.time_ms()) + m_limits.retention;
        if (!isSettled || end > now) {
            ++entry;
            continue;
        }
        m_bytes -= bytesOf(record);
        entry = m_records.erase(entry);
    }
}

void JournalState::load(const wire::BookingJournal &journal)
{
    clear();
    for (const wire::BookingRecord &record : journal.records())
        put(record);
}

void JournalState::appendTo(wire::BookingJournal &journal) const
{
    for (const auto &[key, record] : m_records)
        *journal.add_records() = record;
}

void JournalState::clear()
{
    m_records.clear();
    m_bytes = 0;
}

std::vector<wire::BookingRecord> JournalState::unsettled() const
{
    std::vector<wire::BookingRecord> result;
    for (const auto &[key, record] : m_records) {
        if (record.state() == wire::BookingRecord::SENT)
            result.push_back(record);
    }
    return result;
}

} // namespace gwt
