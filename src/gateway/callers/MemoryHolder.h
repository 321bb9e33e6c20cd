#pragma once

#include <cstddef>
#include <string>

namespace gwt {

/// \brief A connection whose memory a CallerMemory limits.
class MemoryHolder
{
public:
    virtual ~MemoryHolder() = default;

    /// \brief Frees what the connection holds: refuses its request, or closes it. Returns how: a
    /// stable lower-case name; empty if nothing could be freed.
    virtual std::string freeMemory() = 0;
    /// \brief Continues to read after a pause.
    virtual void resumeReading() = 0;
    /// \brief Accounts again for what is held, with bytes that have arrived unread.
    virtual void updateMemory() = 0;
};

} // namespace gwt
