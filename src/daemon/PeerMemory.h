#pragma once

#include "http/ServerMemory.h"
#include "peer/PeerMessageGate.h"

namespace gwt {

/// \brief Accounts for large messages of other daemons with what callers occupy.
class PeerMemory : public PeerMessageGate
{
public:
    explicit PeerMemory(ServerMemory &memory);
    ~PeerMemory() override;
    PeerMemory(const PeerMemory &) = delete;
    PeerMemory &operator=(const PeerMemory &) = delete;

    bool admit(std::size_t bytes) override;
    void release(std::size_t bytes) override;

private:
    ServerMemory &m_memory;
    const ServerMemory::Id m_id; ///< stands for all messages together
    std::mutex m_mutex; ///< guards the member below
    std::size_t m_bytes = 0; ///< of all messages that are being handled
};

} // namespace gwt
