#include "http/MemoryBudget.h"

#include <algorithm>

namespace gwt {

namespace {

/// Added to the time without progress, so that the size decides among connections that are active.
constexpr Milliseconds activeAge{50};

} // namespace

MemoryBudget::MemoryBudget(const HostLimits &limits)
    : m_limit(limits.budgetBytes())
    , m_replies(limits.replyBytes())
{ }

MemoryBudget::Id MemoryBudget::add(TimePoint now)
{
    m_holders[++m_lastId].progressAt = now;
    return m_lastId;
}

void MemoryBudget::remove(Id id)
{
    setBytes(id, 0, MemoryUse::Exchange);
    m_holders.erase(id);
}

void MemoryBudget::setBytes(Id id, std::size_t bytes, MemoryUse use)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end())
        return;
    Holder &holder = found->second;
    m_held = m_held - holder.bytes + bytes;
    m_reserved -= holder.reserved();
    holder.bytes = bytes;
    holder.use = use;
    if (use == MemoryUse::Running || bytes == 0)
        holder.granted = 0;
    m_reserved += holder.reserved();
}

bool MemoryBudget::mayRead(Id id, std::size_t expected)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end())
        return true;
    Holder &holder = found->second;
    const bool isUnlimited
        = !isUnderPressure() || holder.bytes <= s_smallBytes || holder.granted > 0;
    holder.isWaiting = false;
    if (isUnlimited)
        return true;
    const std::size_t needed = expected > holder.bytes ? expected - holder.bytes : 0;
    holder.isWaiting = held() + m_reserved + needed > reserveLevel();
    if (holder.isWaiting)
        return false;
    holder.granted = expected;
    m_reserved += holder.reserved();
    return true;
}

void MemoryBudget::recordProgress(Id id, TimePoint now)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end())
        return;
    found->second.progressAt = now;
    found->second.isWaiting = false;
}

std::size_t MemoryBudget::bytes(Id id) const
{
    const auto found = m_holders.find(id);
    return found == m_holders.end() ? 0 : found->second.bytes;
}

MemoryUse MemoryBudget::use(Id id) const
{
    const auto found = m_holders.find(id);
    return found == m_holders.end() ? MemoryUse::Exchange : found->second.use;
}

Duration MemoryBudget::timeWithoutProgress(Id id, TimePoint now) const
{
    const auto found = m_holders.find(id);
    return found == m_holders.end() ? Duration::zero() : now - found->second.progressAt;
}

std::size_t MemoryBudget::held() const
{
    return m_held + m_holders.size() * s_connectionBytes + m_replies.reserved();
}

bool MemoryBudget::admits(Id id, std::size_t bytes) const
{
    const std::size_t total = held() - this->bytes(id) + bytes;
    return total <= (bytes <= s_smallBytes ? m_limit : reserveLevel());
}

std::vector<MemoryBudget::Id> MemoryBudget::candidates(Id exempt, MemoryUse use, Duration minStall,
                                                       TimePoint now) const
{
    std::vector<std::pair<double, Id>> ranked;
    for (const auto &[id, holder] : m_holders) {
        const Duration stall = now - holder.progressAt;
        const bool mayWait = holder.isWaiting && minStall > Duration::zero();
        if (id == exempt || holder.bytes == 0 || holder.use != use
            || stall < (mayWait ? Duration(s_waitTime) : minStall))
            continue;
        const std::chrono::duration<double> age = stall + activeAge;
        ranked.emplace_back(static_cast<double>(holder.bytes) * age.count(), id);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<Id> ids;
    ids.reserve(ranked.size());
    for (const auto &[rank, id] : ranked)
        ids.push_back(id);
    return ids;
}

std::vector<MemoryBudget::Id> MemoryBudget::selectForClose(Id exempt, std::size_t needed,
                                                           TimePoint now) const
{
    std::size_t total = held() + needed;
    std::vector<Id> selected;
    const auto select = [&](const std::vector<Id> &ids, std::size_t level) {
        for (const Id id : ids) {
            if (total <= level)
                return;
            total -= bytes(id);
            selected.push_back(id);
        }
    };
    if (total <= pressureLevel())
        return selected;
    const Duration minStall = total > reserveLevel() ? Duration::zero() : Duration(s_stallTime);
    select(candidates(exempt, MemoryUse::Exchange, minStall, now), pressureLevel());
    if (needed == 0 && total > m_limit)
        select(candidates(exempt, MemoryUse::Running, Duration::zero(), now), m_limit);
    return selected;
}

} // namespace gwt
