#include "operator/queries/RequestQuery.h"

#include "operator/FleetStatus.h"
#include "operator/JsonFields.h"

namespace gwt {

namespace json = boost::json;

namespace {

constexpr std::chrono::seconds traceTimeout{2};

Task<Outcome<HttpResponse>> requestTrace(HttpClient &client, Endpoint admin, std::string requestId)
{
    HttpRequest request;
    request.target = "/requests/" + requestId;
    co_return co_await client.send(admin, std::move(request), Clock::now() + traceTimeout);
}

/// \brief Fetches the trace of a request from the daemon at \a admin; empty if it has none.
json::object fetchTrace(OperatorContext &context, const Endpoint &admin,
                        const std::string &requestId)
{
    const auto response = context.run(requestTrace(context.client(), admin, requestId));
    if (!isOk(response) || valueOf(response).status != 200)
        return {};
    boost::system::error_code failure;
    const json::value body = json::parse(valueOf(response).body, failure);
    return body.is_object() ? body.get_object() : json::object();
}

std::string slicesText(const json::object &trace)
{
    std::string text;
    for (const json::object &slice : objectsOf(trace, "slices")) {
        const std::string relay = textOf(slice, "relay");
        const std::uint64_t calls = numberOf(slice, "calls");
        text += "slice " + textOf(slice, "slice") + ": " + (relay.empty() ? "no relay" : relay)
            + ", " + textOf(slice, "outcome")
            + (calls > 1 ? " after " + std::to_string(calls) + " calls" : "") + "\n";
    }
    return text;
}

std::string missingText(const json::object &trace)
{
    std::string text;
    for (const json::object &missing : objectsOf(trace, "missing"))
        text += "missing " + textOf(missing, "service") + ": " + textOf(missing, "reason") + "\n";
    return text;
}

std::string traceText(const json::object &trace, const std::string &entry)
{
    const std::string refused = textOf(trace, "refused");
    const std::string heading = "search of index " + textOf(trace, "index") + ", rank "
        + textOf(trace, "rank") + ", at " + entry;
    if (!refused.empty())
        return heading + "\nrefused before any relay was asked: " + refused + "\n";
    return heading + "\nsnapshot " + std::to_string(numberOf(trace, "snapshot")) + ", "
        + std::to_string(numberOf(trace, "answered")) + " of "
        + std::to_string(numberOf(trace, "shards")) + " shards answered, "
        + std::to_string(numberOf(trace, "extra_legs")) + " extra legs\n" + missingText(trace)
        + slicesText(trace);
}

} // namespace

OperatorReport explainRequest(OperatorContext &context, const OperatorOptions &options,
                              const std::string &requestId)
{
    const auto fleet = queryFleet(context, options);
    if (!isOk(fleet))
        return OperatorReport::failure("no host list", errorOf(fleet));
    std::size_t queriedDaemons = 0;
    for (const DaemonReply &daemon : valueOf(fleet)) {
        if (!daemon.hasReplied)
            continue;
        ++queriedDaemons;
        json::object trace = fetchTrace(context, daemon.admin, requestId);
        if (trace.empty())
            continue;
        OperatorReport report;
        report.text = traceText(trace, daemon.label);
        report.json = {{"entry", daemon.label}, {"request", std::move(trace)}};
        return report;
    }
    const Error error(ErrorCode::NotFound, "no_such_request",
                      requestId + " is not among the recent searches of the "
                          + std::to_string(queriedDaemons) + " responding daemons");
    return OperatorReport::failure("cannot explain", error);
}

} // namespace gwt
