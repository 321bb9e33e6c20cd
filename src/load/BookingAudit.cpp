#include "load/BookingAudit.h"

#include <boost/json.hpp>

namespace gwt {

namespace json = boost::json;

namespace {

constexpr std::chrono::seconds auditTimeout{10};

} // namespace

Task<std::vector<std::string>> auditBookings(HttpClient &client, Endpoint backendAdmin,
                                             std::vector<StreamReport> reports)
{
    std::vector<std::string> violations;
    HttpRequest request;
    request.target = "/admin/bookings";
    const auto response
        = co_await client.send(backendAdmin, std::move(request), Clock::now() + auditTimeout);
    if (!isOk(response)) {
        violations.push_back("the backend servers' ledger cannot be read: "
                             + errorOf(response).reason);
        co_return violations;
    }
    boost::system::error_code failure;
    const json::value parsed = json::parse(valueOf(response).body, failure);
    if (failure || !parsed.is_object()) {
        violations.emplace_back("the backend servers' ledger is not JSON");
        co_return violations;
    }
    const json::object &ledger = parsed.get_object();
    for (const auto &entry : ledger) {
        const auto executions = entry.value().at("executions").to_number<int>();
        if (executions > 1)
            violations.push_back("booking " + std::string(entry.key()) + " ran "
                                 + std::to_string(executions) + " times");
    }
    for (const StreamReport &report : reports) {
        for (const auto &[key, result] : report.doneBookings) {
            const json::value *entry = ledger.if_contains(key);
            if (!entry || entry->at("result").as_string() != result)
                violations.push_back("booking " + key
                                     + " was reported done but did not run with that result");
        }
        for (const std::string &key : report.notRunBookings) {
            if (ledger.contains(key))
                violations.push_back("booking " + key + " was reported notRun but ran");
        }
    }
    co_return violations;
}

} // namespace gwt
