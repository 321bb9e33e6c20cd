#pragma once

#include "control/ConfigSet.h"
#include "standins/backend/FakeBackend.h"

#include <memory>
#include <vector>

namespace gwt {

/// \brief All simulated backend servers of a set in one process, with one admin port.
///
/// POST /admin/behaviour {"select": {"server"|"service"|"place"|"index": NAME}, ...fields} changes
/// the selected servers; GET /admin/bookings, /admin/counts and /admin/served report what the
/// servers executed and answered.
class BackendFleet
{
public:
    BackendFleet(Executor executor, const ConfigSet &set, ServiceTime time, std::uint64_t seed);

    /// \brief Opens all listeners; stops at the first failure and returns it.
    Outcome<Done> listen();
    Outcome<Endpoint> listenAdmin(const Endpoint &local) { return m_admin.listen(local); }

    const std::vector<std::unique_ptr<FakeBackend>> &backends() const { return m_backends; }
    const BookingLedger &ledger() const { return m_ledger; }

private:
    Task<HttpResponse> answerAdmin(HttpRequest request);
    HttpResponse changeBehaviour(const std::string &body);
    HttpResponse reportCounts() const;
    HttpResponse reportBookings() const;
    HttpResponse reportServed() const;

    BookingLedger m_ledger;
    ServedLog m_served;
    std::map<std::string, std::string> m_indexOfService;
    std::vector<std::unique_ptr<FakeBackend>> m_backends;
    HttpServer m_admin;
};

} // namespace gwt
