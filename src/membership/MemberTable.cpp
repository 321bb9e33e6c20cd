#include "membership/MemberTable.h"

#include <xxhash.h>

#include <algorithm>

namespace gwt {

namespace {

std::uint64_t hashOf(const std::string &id)
{
    return XXH3_64bits(id.data(), id.size());
}

/// \brief Hash of a member's id, incarnation and whether it is leaving; suspicions are transient
/// and left out.
std::uint64_t digestOf(const Member &member, std::uint64_t idHash)
{
    const std::array<std::uint64_t, 3> facts
        = {idHash, member.incarnation, member.state == MemberState::Leaving ? 1U : 0U};
    return XXH3_64bits(facts.data(), sizeof(facts));
}

} // namespace

bool MemberTable::isNewer(const Member &update, const Member &known)
{
    if (update.incarnation != known.incarnation)
        return update.incarnation > known.incarnation;
    return update.state > known.state;
}

MemberTable::Effect MemberTable::apply(const Member &update, TimePoint suspicionEnd, TimePoint now)
{
    const auto found = m_records.find(update.id);
    const bool isKnown = found != m_records.end();
    if (isKnown ? !isNewer(update, found->second.member) : update.state == MemberState::Dead)
        return Effect::None;
    Record &record = isKnown ? found->second : m_records[update.id];
    const bool wasDead = isKnown && record.member.state == MemberState::Dead;
    if (!isKnown)
        record.bucket = hashOf(update.id) % digestBucketCount;
    m_areLiveIdsStale = m_areLiveIdsStale || !isKnown || wasDead;
    record.member = update;
    record.suspicionEnd.reset();
    record.isOwnSuspicion = false;
    m_suspects.erase(update.id);
    if (update.state == MemberState::Dead) {
        markDead(record, now);
        return Effect::Died;
    }
    if (update.state == MemberState::Suspect) {
        record.suspicionEnd = suspicionEnd;
        m_suspects.insert(update.id);
        return Effect::Suspected;
    }
    return wasDead ? Effect::Revived : Effect::Changed;
}

void MemberTable::markDead(Record &record, TimePoint now)
{
    record.member.state = MemberState::Dead;
    record.member.isReady = false;
    record.suspicionEnd.reset();
    record.isOwnSuspicion = false;
    record.deadSince = now;
    m_areLiveIdsStale = true;
}

const Member *MemberTable::find(const std::string &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second.member;
}

bool MemberTable::suspect(const std::string &id, TimePoint suspicionEnd)
{
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.member.state == MemberState::Dead)
        return false;
    Record &record = found->second;
    record.isOwnSuspicion = true;
    if (record.suspicionEnd)
        return false;
    record.suspicionEnd = suspicionEnd;
    if (record.member.state == MemberState::Alive)
        record.member.state = MemberState::Suspect;
    m_suspects.insert(id);
    return true;
}

void MemberTable::clearLeavingSuspicion(const std::string &id)
{
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.member.state != MemberState::Leaving)
        return;
    found->second.suspicionEnd.reset();
    found->second.isOwnSuspicion = false;
    m_suspects.erase(id);
}

std::vector<std::string> MemberTable::expireSuspicions(TimePoint now)
{
    std::vector<std::string> expired;
    for (const std::string &id : m_suspects) {
        Record &record = m_records.at(id);
        if (record.suspicionEnd && *record.suspicionEnd <= now) {
            markDead(record, now);
            expired.push_back(id);
        }
    }
    for (const std::string &id : expired)
        m_suspects.erase(id);
    return expired;
}

std::vector<std::string> MemberTable::ownSuspicions() const
{
    std::vector<std::string> ids;
    for (const std::string &id : m_suspects) {
        if (m_records.at(id).isOwnSuspicion)
            ids.push_back(id);
    }
    return ids;
}

void MemberTable::extendSuspicions(Duration gap)
{
    for (const std::string &id : m_suspects) {
        auto &end = m_records.at(id).suspicionEnd;
        if (end)
            *end += gap;
    }
}

void MemberTable::dropTombstones(TimePoint end)
{
    std::erase_if(m_records, [end](const auto &entry) {
        const Record &record = entry.second;
        return record.member.state == MemberState::Dead && record.deadSince < end;
    });
}

const std::vector<std::string> &MemberTable::liveIds() const
{
    if (!m_areLiveIdsStale)
        return m_liveIds;
    m_liveIds.clear();
    for (const auto &[id, record] : m_records) {
        if (record.member.state != MemberState::Dead)
            m_liveIds.push_back(id);
    }
    m_areLiveIdsStale = false;
    return m_liveIds;
}

std::vector<std::string> MemberTable::deadIds() const
{
    std::vector<std::string> ids;
    for (const auto &[id, record] : m_records) {
        if (record.member.state == MemberState::Dead)
            ids.push_back(id);
    }
    return ids;
}

MemberList MemberTable::members() const
{
    MemberList members;
    for (const auto &[id, record] : m_records) {
        if (record.member.state != MemberState::Dead)
            members.push_back(record.member);
    }
    return members;
}

MemberTable::Digests MemberTable::digests() const
{
    Digests digests{};
    for (const auto &[id, record] : m_records) {
        if (record.member.state != MemberState::Dead)
            digests[record.bucket] ^= digestOf(record.member, hashOf(id));
    }
    return digests;
}

std::vector<const Member *> MemberTable::bucket(std::size_t bucket) const
{
    std::vector<const Member *> members;
    for (const auto &[id, record] : m_records) {
        if (record.bucket == bucket)
            members.push_back(&record.member);
    }
    return members;
}

} // namespace gwt
