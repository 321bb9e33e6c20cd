#include "operator/queries/BackendsQuery.h"

#include "operator/FleetStatus.h"
#include "operator/JsonFields.h"

#include <array>
#include <cstdio>

namespace gwt {

namespace json = boost::json;

namespace {

std::string decimalText(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    boost::system::error_code failure;
    const double number = value && value->is_number() ? value->to_number<double>(failure) : 0;
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", number);
    return text.data();
}

std::string stateOf(const json::object &server)
{
    if (flagOf(server, "is_draining"))
        return "draining";
    if (!flagOf(server, "is_usable"))
        return "retired";
    return flagOf(server, "is_paused") ? "paused" : "usable";
}

std::string serverText(const json::object &server)
{
    return "  " + textOf(server, "id") + "  " + textOf(server, "address") + "  " + stateOf(server)
        + "  connections " + std::to_string(numberOf(server, "connections")) + "  in flight "
        + std::to_string(numberOf(server, "in_flight")) + "  oldest "
        + std::to_string(numberOf(server, "oldest_ms")) + " ms  slowness "
        + decimalText(server, "slowness") + "  failures " + decimalText(server, "failure_rate")
        + "\n";
}

std::string summaryText(const json::object &status)
{
    const json::value *summary = status.if_contains("summary");
    if (!summary || !summary->is_object())
        return "  knows no such service\n";
    const json::object &fields = summary->get_object();
    std::string text = "  waiting " + std::to_string(numberOf(fields, "waiting")) + "  open legs "
        + std::to_string(numberOf(fields, "open_legs"));
    const json::value *repeats = fields.if_contains("repeats");
    if (repeats && repeats->is_object()) {
        const json::object &usage = repeats->get_object();
        text += "  hedges " + decimalText(usage, "hedges") + " and repairs "
            + decimalText(usage, "repairs") + " of " + decimalText(usage, "allowed");
    }
    return text + "\n";
}

} // namespace

OperatorReport runBackends(OperatorContext &context, const OperatorOptions &options)
{
    if (options.adminEndpoints.empty()) {
        const Error error(ErrorCode::InvalidArgument, "usage",
                          "--admin with the addresses of the gateways is required");
        OperatorReport report = OperatorReport::failure("backends", error);
        report.exitStatus = exitUsage;
        return report;
    }
    const std::string &service = options.arguments[0];
    const auto fleet = queryFleet(context, options, "/status?service=" + service);
    if (!isOk(fleet))
        return OperatorReport::failure("backends", errorOf(fleet));
    OperatorReport report;
    json::array list;
    for (const DaemonReply &daemon : valueOf(fleet)) {
        report.text += daemon.label + "\n";
        list.push_back(json::object{
            {"name", daemon.label}, {"answering", daemon.hasReplied}, {"status", daemon.body}});
        if (!daemon.hasReplied) {
            report.text += "  does not answer\n";
            report.exitStatus = exitFailure;
            continue;
        }
        report.text += summaryText(daemon.body);
        for (const json::object &server : objectsOf(daemon.body, "servers"))
            report.text += serverText(server);
    }
    report.json = {{"service", service}, {"gateways", std::move(list)}};
    return report;
}

} // namespace gwt
