#pragma once

#include <algorithm>
#include <cstddef>

namespace gwt {

/// \brief What the host allows a process, and the shares derived from it.
struct HostLimits
{
    std::size_t memoryMb = 256; ///< of the whole process
    int maxFds = 0; ///< open descriptors; 0: no limit on connections

    /// \brief Bytes that callers and responses may occupy together.
    ///
    /// The program with the state of 675 backend servers takes 15 MB. Half of the rest is left to
    /// the allocator, to copies while a message is passed on, and to the kernel's buffers.
    std::size_t budgetBytes() const
    {
        constexpr std::size_t programMb = 24;
        constexpr std::size_t smallestShare = 8;
        const std::size_t rest = memoryMb > programMb ? (memoryMb - programMb) / 2 : 0;
        return std::max(rest, memoryMb / smallestShare) << 20U;
    }
    /// \brief Bytes of the responses that are being received, which backend servers may send
    /// without end.
    std::size_t replyBytes() const
    {
        constexpr std::size_t mostMb = 32;
        constexpr std::size_t share = 5;
        return std::min(mostMb, std::max<std::size_t>(1, memoryMb / share)) << 20U;
    }
    /// \brief Connections of callers; the rest is for backend servers, the store and other hosts.
    std::size_t maxCallers() const { return static_cast<std::size_t>(maxFds) * 3 / 4; }
    /// \brief Receive buffer in the kernel of each connection of callers, so that all together may
    /// hold the half of the memory that is not in the budget; 0: the system's default.
    int receiveBufferBytes() const
    {
        constexpr std::size_t least = 16'384; // a head of usual size in one read
        constexpr std::size_t most = 131'072; // the usual default of the system
        if (maxFds == 0)
            return 0;
        const std::size_t share = budgetBytes() / std::max<std::size_t>(1, maxCallers());
        return static_cast<int>(std::clamp(share, least, most));
    }
    /// \brief Largest request, in bytes, that can be handled with \a copies of it in memory.
    std::size_t largestRequest(std::size_t copies) const { return budgetBytes() / 8 * 7 / copies; }
    /// \brief Connections to the address of health and metrics; 0: no limit.
    std::size_t maxAdminConnections() const
    {
        constexpr std::size_t fewest = 16;
        constexpr std::size_t share = 32;
        return maxFds == 0 ? 0 : std::max(fewest, static_cast<std::size_t>(maxFds) / share);
    }

    /// \brief These limits, with at most as many descriptors as the system allows the process.
    HostLimits withinSystem() const;

    bool operator==(const HostLimits &) const = default;
};

} // namespace gwt
