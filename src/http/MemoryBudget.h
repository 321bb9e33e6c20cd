#pragma once

#include "common/Time.h"
#include "http/ByteBudget.h"
#include "http/HostLimits.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace gwt {

/// \brief What a connection of a caller holds memory for.
enum class MemoryUse {
    Exchange, ///< a request that is being received, or a response that is being sent
    Running ///< a request that has been dispatched and has no response yet
};

/// \brief The account of the memory that a process holds for callers and responses of servers.
///
/// Does no I/O. Up to three quarters of the limit, nothing is restricted. Beyond, connections that
/// hold more than a small request only grow by a grant, which reserves the rest of their request,
/// and those without progress are closed. The last eighth is kept for small requests: beyond seven
/// eighths, connections are closed even if they have just made progress.
class MemoryBudget
{
public:
    using Id = std::uint64_t;

    /// A connection with its timer and socket object, rounded up to a page.
    static constexpr std::size_t s_connectionBytes = 4096;
    /// What a connection may hold at all times: a head of usual size and the pipelined bytes of one
    /// read.
    static constexpr std::size_t s_smallBytes = 16384;
    /// A caller on a poor connection seldom pauses that long within a request.
    static constexpr Milliseconds s_stallTime{500};
    /// Callers abandon a request that is not read within a second; until then, one that waits for a
    /// grant is not closed.
    static constexpr Milliseconds s_waitTime{1000};
    /// Between checks under pressure: a tenth of the time after which a connection counts as
    /// stalled.
    static constexpr Milliseconds s_checkInterval = s_stallTime / 10;

    explicit MemoryBudget(const HostLimits &limits);

    Id add(TimePoint now);
    void remove(Id id);
    /// \brief Sets what connection \a id holds beyond s_connectionBytes.
    void setBytes(Id id, std::size_t bytes, MemoryUse use);
    /// \brief Records that \a id has transferred bytes.
    void recordProgress(Id id, TimePoint now);
    std::size_t bytes(Id id) const;
    /// \brief What \a id holds memory for; Exchange if it is unknown.
    MemoryUse use(Id id) const;
    Duration timeWithoutProgress(Id id, TimePoint now) const;

    std::size_t limit() const { return m_limit; }
    /// \brief Bytes held by all connections and responses.
    std::size_t held() const;
    /// \brief Limits the responses that are being received; part of held().
    ByteBudget &replies() { return m_replies; }

    bool isUnderPressure() const { return held() > pressureLevel(); }
    /// \brief True if only the reserve for small requests is left.
    bool isExhausted() const { return held() > reserveLevel(); }
    /// \brief True if connection \a id may read on to a request of which it will hold \a expected
    /// bytes in total. Under pressure this reserves room for them; without room the connection
    /// counts as waiting until it asks again.
    bool mayRead(Id id, std::size_t expected);
    /// \brief True if \a id may hold \a bytes in total from now on. Small ones may use the reserve.
    bool admits(Id id, std::size_t bytes) const;
    /// \brief Connections to close so that \a needed further bytes fit, in this order; those first
    /// that hold much and have been without progress for long.
    ///
    /// Never \a exempt. Running requests are named only if held() exceeds the limit.
    std::vector<Id> selectForClose(Id exempt, std::size_t needed, TimePoint now) const;

private:
    struct Holder
    {
        std::size_t bytes = 0;
        TimePoint progressAt;
        MemoryUse use = MemoryUse::Exchange;
        std::size_t granted = 0; ///< bytes that it may hold in total under pressure; 0: no grant
        bool isWaiting = false; ///< is not read on for lack of memory

        std::size_t reserved() const { return granted > bytes ? granted - bytes : 0; }
    };

    std::size_t pressureLevel() const { return m_limit / 4 * 3; }
    std::size_t reserveLevel() const { return m_limit / 8 * 7; }
    std::vector<Id> candidates(Id exempt, MemoryUse use, Duration minStall, TimePoint now) const;

    const std::size_t m_limit;
    ByteBudget m_replies;
    std::unordered_map<Id, Holder> m_holders;
    std::size_t m_held = 0; ///< sum over m_holders
    std::size_t m_reserved = 0; ///< the same of what is granted and not held yet
    Id m_lastId = 0;
};

} // namespace gwt
