#include "daemon/PeerMemory.h"

namespace gwt {

namespace {

/// Copies of a message in memory while a relay handles it: as received, as decoded, and for each of
/// a few shards as JSON and in the request that is sent.
constexpr std::size_t handledCopies = 8;

/// Small messages are covered by the memory outside the account.
bool isSmall(std::size_t bytes)
{
    return bytes <= MemoryBudget::s_smallBytes;
}

} // namespace

PeerMemory::PeerMemory(ServerMemory &memory)
    : m_memory(memory)
    , m_id(memory.add([] { /* messages that are being handled cannot be freed */ }))
{ }

PeerMemory::~PeerMemory()
{
    m_memory.remove(m_id);
}

bool PeerMemory::admit(std::size_t bytes)
{
    if (isSmall(bytes))
        return true;
    const std::lock_guard lock(m_mutex);
    const std::size_t total = m_bytes + handledCopies * bytes;
    if (!m_memory.admit(m_id, total)) {
        m_memory.recordRefusal("peer", bytes);
        return false;
    }
    m_bytes = total;
    m_memory.setBytes(m_id, m_bytes, MemoryUse::Running);
    return true;
}

void PeerMemory::release(std::size_t bytes)
{
    if (isSmall(bytes))
        return;
    const std::lock_guard lock(m_mutex);
    m_bytes -= handledCopies * bytes;
    m_memory.setBytes(m_id, m_bytes, MemoryUse::Running);
}

} // namespace gwt
