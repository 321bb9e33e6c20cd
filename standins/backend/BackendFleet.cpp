#include "standins/backend/BackendFleet.h"

#include <boost/json.hpp>

namespace gwt {

namespace json = boost::json;

namespace {

/// \brief Fields of a behaviour, by their names in the admin API.
struct ShareField
{
    const char *name;
    double BackendBehaviour::*member;
};

struct FlagField
{
    const char *name;
    bool BackendBehaviour::*member;
};

constexpr std::array shareFields = {
    ShareField{"slow_factor", &BackendBehaviour::slowFactor},
    ShareField{"slow_share", &BackendBehaviour::slowShare},
    ShareField{"slow_share_factor", &BackendBehaviour::slowShareFactor},
    ShareField{"fail_share", &BackendBehaviour::failShare},
    ShareField{"shed_share", &BackendBehaviour::shedShare},
    ShareField{"truncate_share", &BackendBehaviour::truncateShare},
    ShareField{"foreign_share", &BackendBehaviour::foreignShare},
    ShareField{"cross_share", &BackendBehaviour::crossShare},
    ShareField{"malformed_share", &BackendBehaviour::malformedShare},
    ShareField{"duplicate_share", &BackendBehaviour::duplicateShare},
};

constexpr std::array flagFields = {
    FlagField{"dead", &BackendBehaviour::isDead},
    FlagField{"frozen", &BackendBehaviour::isFrozen},
    FlagField{"draining", &BackendBehaviour::isDraining},
    FlagField{"reports_draining", &BackendBehaviour::reportsDraining},
    FlagField{"refuses_when_draining", &BackendBehaviour::refusesWhenDraining},
    FlagField{"reports_low_load", &BackendBehaviour::reportsLowLoad},
    FlagField{"loses_booking_replies", &BackendBehaviour::losesBookingReplies},
};

/// \brief Applies \a change to \a behaviour; returns the first unknown or invalid field, or an
/// empty string.
std::string_view apply(const json::object &change, BackendBehaviour &behaviour)
{
    for (const auto &member : change) {
        const std::string_view name = member.key();
        const json::value &value = member.value();
        if (name == "select")
            continue;
        if (name == "versions" && value.is_array()) {
            behaviour.versions.clear();
            for (const json::value &version : value.get_array())
                behaviour.versions.insert(version.to_number<std::uint64_t>());
            continue;
        }
        if (name == "booking_reply_delay_ms" && value.is_int64()) {
            behaviour.bookingReplyDelay = Milliseconds(value.get_int64());
            continue;
        }
        const auto share = std::find_if(shareFields.begin(), shareFields.end(),
                                        [&](const ShareField &f) { return name == f.name; });
        if (share != shareFields.end() && value.is_number()) {
            behaviour.*share->member = value.to_number<double>();
            continue;
        }
        const auto flag = std::find_if(flagFields.begin(), flagFields.end(),
                                       [&](const FlagField &f) { return name == f.name; });
        if (flag == flagFields.end() || !value.is_bool())
            return name;
        behaviour.*flag->member = value.get_bool();
    }
    return {};
}

} // namespace

BackendFleet::BackendFleet(Executor executor, const ConfigSet &set, ServiceTime time,
                           std::uint64_t seed)
    : m_admin(executor, HttpServerLimits{},
              [this](HttpRequest request) { return answerAdmin(std::move(request)); })
{
    for (const auto &[name, service] : set.services)
        m_indexOfService[name] = service.index;
    for (const auto &[name, server] : set.backendServers) {
        m_backends.push_back(
            std::make_unique<FakeBackend>(executor, server, time, m_ledger, m_served, seed++));
    }
}

Outcome<Done> BackendFleet::listen()
{
    for (const auto &backend : m_backends) {
        const Outcome<Endpoint> bound = backend->listen();
        if (!isOk(bound))
            return errorOf(bound);
    }
    return Done{};
}

Task<HttpResponse> BackendFleet::answerAdmin(HttpRequest request)
{
    const std::string path = request.path();
    if (path == "/healthz")
        co_return HttpResponse::json(200, R"({"status":"alive"})");
    if (path == "/admin/behaviour" && request.method == "POST")
        co_return changeBehaviour(request.body);
    if (path == "/admin/counts")
        co_return reportCounts();
    if (path == "/admin/bookings")
        co_return reportBookings();
    if (path == "/admin/served")
        co_return reportServed();
    co_return HttpResponse::json(404, R"({"error":"no_such_path"})");
}

HttpResponse BackendFleet::changeBehaviour(const std::string &body)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(body, failure);
    if (failure || !parsed.is_object())
        return HttpResponse::json(400, R"({"error":"bad_json"})");
    const json::object &change = parsed.get_object();
    const json::value *select = change.if_contains("select");
    const auto matches = [&](const char *field, const std::string &value) {
        const json::value *wanted = select ? select->as_object().if_contains(field) : nullptr;
        return !wanted || (wanted->is_string() && wanted->get_string() == value);
    };
    int changed = 0;
    for (const auto &backend : m_backends) {
        const BackendServer &server = backend->server();
        const bool isSelected = matches("server", server.name) && matches("service", server.service)
            && matches("place", server.place) && matches("index", m_indexOfService[server.service]);
        if (!isSelected)
            continue;
        BackendBehaviour behaviour = backend->behaviour();
        const std::string_view invalidField = apply(change, behaviour);
        if (!invalidField.empty()) {
            const json::object error{{"error", "unknown or wrong field"}, {"field", invalidField}};
            return HttpResponse::json(400, json::serialize(error));
        }
        backend->setBehaviour(behaviour);
        ++changed;
    }
    return HttpResponse::json(200, "{\"changed\":" + std::to_string(changed) + "}");
}

HttpResponse BackendFleet::reportCounts() const
{
    json::object all;
    for (const auto &backend : m_backends) {
        const BackendCounts counts = backend->counts();
        all[backend->server().name] = json::object{{"service", backend->server().service},
                                                   {"received", counts.received},
                                                   {"started", counts.started},
                                                   {"served", counts.served},
                                                   {"shed", counts.shed},
                                                   {"cancelled", counts.cancelled},
                                                   {"expired", counts.expired},
                                                   {"overlimit", counts.overlimit},
                                                   {"peak_connections", counts.peakConnections},
                                                   {"peak_in_slots", counts.peakInSlots}};
    }
    return HttpResponse::json(200, json::serialize(all));
}

HttpResponse BackendFleet::reportBookings() const
{
    json::object all;
    for (const auto &[key, entry] : m_ledger.entries()) {
        all[key] = json::object{{"executions", entry.executions}, {"result", entry.result}};
    }
    return HttpResponse::json(200, json::serialize(all));
}

HttpResponse BackendFleet::reportServed() const
{
    json::object all;
    for (const auto &[requestId, services] : m_served.entries())
        all[requestId] = json::array(services.begin(), services.end());
    return HttpResponse::json(200, json::serialize(all));
}

} // namespace gwt
