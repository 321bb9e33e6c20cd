#pragma once

#include "booking/BookingEngine.h"
#include "daemon/DaemonRole.h"
#include "daemon/DaemonServices.h"

namespace gwt {

/// \brief The booking daemon: holds ranges of booking keys.
class BookingRole : public DaemonRole
{
public:
    BookingRole(DaemonServices &services, BookingOptions options);

    Outcome<Done> start() override;
    bool isReady() const override { return true; }
    void stopAccepting() override { }
    Task<void> handOver() override { return m_engine.handOver(); }
    int requestsInProgress() const override { return 0; }
    std::string statusJson() const override { return m_engine.statusJson(); }

private:
    DaemonServices &m_daemon;
    BookingEngine m_engine;
};

} // namespace gwt
