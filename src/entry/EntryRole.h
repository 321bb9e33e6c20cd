#pragma once

#include "daemon/DaemonRole.h"
#include "daemon/DaemonServices.h"
#include "entry/admission/AdmissionGate.h"
#include "entry/commands/BookingService.h"
#include "entry/queries/SearchService.h"
#include "http/HttpServer.h"

namespace gwt {

/// \brief Settings of the entry role.
struct EntryOptions
{
    Endpoint listen; ///< address of the HTTP API
    HttpServerLimits limits;
    AdmissionOptions admission;

    static EntryOptions read(Settings &settings);
};

/// \brief The entry daemon: serves the HTTP API for searches and bookings.
class EntryRole : public DaemonRole
{
public:
    EntryRole(DaemonServices &services, EntryOptions options);

    Outcome<Done> start() override;
    bool isReady() const override { return true; }
    void startDraining() override { m_server.startDraining(); }
    void stopAccepting() override { m_server.stopAccepting(); }
    void endRequests() override;
    Task<void> handOver() override { co_return; }
    int requestsInProgress() const override { return m_server.requestsInProgress(); }
    std::string statusJson() const override;
    std::optional<std::string> inspect(const std::string &path) const override;

private:
    Task<HttpResponse> route(HttpRequest request);

    EntryOptions m_options;
    AdmissionGate m_gate;
    SearchService m_search;
    BookingService m_bookings;
    HttpServer m_server;
};

} // namespace gwt
