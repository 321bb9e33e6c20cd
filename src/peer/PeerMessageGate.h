#pragma once

#include <cstddef>

namespace gwt {

/// \brief Decides whether there is memory to handle a message of another daemon. Thread-safe.
class PeerMessageGate
{
public:
    virtual ~PeerMessageGate() = default;

    /// \brief True if a message of \a bytes may be handled; release() it afterwards.
    virtual bool admit(std::size_t bytes) = 0;
    virtual void release(std::size_t bytes) = 0;
};

} // namespace gwt
