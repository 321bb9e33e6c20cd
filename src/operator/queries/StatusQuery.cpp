#include "operator/queries/StatusQuery.h"

#include "operator/FleetStatus.h"
#include "operator/JsonFields.h"

#include <algorithm>

namespace gwt {

namespace json = boost::json;

namespace {

std::string ageText(std::uint64_t sentMs)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto age = std::chrono::duration_cast<std::chrono::seconds>(now - Milliseconds(sentMs));
    return std::to_string(std::max<std::int64_t>(0, age.count())) + " s ago";
}

/// \brief Formats a gateway's registry age, impaired services and limited admission sets; empty
/// for other daemons.
std::string gatewayText(const json::object &status)
{
    const json::value *registry = status.if_contains("registry");
    if (!registry || !registry->is_object())
        return {};
    const json::object &source = registry->get_object();
    const std::string registryAge = source.contains("heard_ms_ago")
        ? "heard " + std::to_string(numberOf(source, "heard_ms_ago")) + " ms ago"
        : "never heard";
    std::string text = "  registry " + registryAge + ", "
        + std::to_string(objectsOf(status, "fleet").size()) + " gateways, "
        + std::to_string(objectsOf(status, "services").size()) + " services\n";
    for (const json::object &service : objectsOf(status, "services")) {
        const std::uint64_t usable = numberOf(service, "usable");
        const std::uint64_t paused = numberOf(service, "paused");
        if (usable == 0 || paused > 0)
            text += "  service " + textOf(service, "service") + ": " + std::to_string(usable)
                + " usable servers, " + std::to_string(paused) + " of them paused\n";
    }
    for (const json::object &set : objectsOf(status, "admission")) {
        if (flagOf(set, "is_bounded"))
            text += "  queries over " + textOf(set, "first_shard")
                + " and others are refused in part\n";
    }
    return text;
}

/// \brief Adds the bookings of unknown outcome that the booking daemons list.
void addUnsettledBookings(const std::vector<DaemonReply> &fleet, OperatorReport &report)
{
    json::array list;
    for (const DaemonReply &daemon : fleet) {
        const json::value *role = daemon.body.if_contains("role");
        if (!role || !role->is_object())
            continue;
        for (json::object &booking : objectsOf(role->get_object(), "unsettled")) {
            report.text += "booking " + textOf(booking, "key") + " of service "
                + textOf(booking, "service") + ": outcome unknown, sent "
                + ageText(numberOf(booking, "sent_ms")) + " through " + textOf(booking, "relay")
                + ", held by " + daemon.label + "\n";
            booking["holder"] = daemon.label;
            list.push_back(std::move(booking));
        }
    }
    if (!list.empty())
        report.text += std::to_string(list.size()) + " bookings of unknown outcome\n";
    report.json["unsettled"] = std::move(list);
}

} // namespace

OperatorReport runStatus(OperatorContext &context, const OperatorOptions &options)
{
    if (!options.platform && options.adminEndpoints.empty()) {
        const Error error(ErrorCode::InvalidArgument, "usage", "--platform or --admin is required");
        OperatorReport report = OperatorReport::failure("status", error);
        report.exitStatus = exitUsage;
        return report;
    }
    const auto fleet = queryFleet(context, options);
    if (!isOk(fleet))
        return OperatorReport::failure("no host list", errorOf(fleet));
    std::uint64_t newest = 0;
    for (const DaemonReply &daemon : valueOf(fleet))
        newest = std::max(newest, daemon.generation);
    OperatorReport report;
    json::array list;
    int unhealthyCount = 0;
    for (const DaemonReply &daemon : valueOf(fleet)) {
        const std::string state = daemon.hasReplied ? daemon.state : "does not answer";
        const bool isHealthy = state == "ready" && daemon.generation == newest;
        unhealthyCount += isHealthy ? 0 : 1;
        report.text += daemon.label + "  " + state + "  generation "
            + std::to_string(daemon.generation) + (isHealthy ? "" : "  !") + "\n"
            + gatewayText(daemon.body);
        list.push_back(json::object{{"name", daemon.label},
                                    {"admin", toString(daemon.admin)},
                                    {"answering", daemon.hasReplied},
                                    {"status", daemon.body}});
    }
    report.text += std::to_string(valueOf(fleet).size()) + " daemons, "
        + std::to_string(unhealthyCount) + " of them not ready on generation "
        + std::to_string(newest) + "\n";
    report.exitStatus = unhealthyCount == 0 ? exitOk : exitFailure;
    report.json = {{"generation", newest}, {"wrong", unhealthyCount}, {"daemons", std::move(list)}};
    addUnsettledBookings(valueOf(fleet), report);
    return report;
}

} // namespace gwt
