#include "operator/queries/RequestQuery.h"

#include "operator/FleetStatus.h"
#include "operator/JsonFields.h"

namespace gwt {

namespace json = boost::json;

namespace {

constexpr std::chrono::seconds askTimeout{2};

Task<Outcome<HttpResponse>> askTrace(HttpClient &client, Endpoint admin, std::string requestId)
{
    HttpRequest request;
    request.target = "/requests/" + requestId;
    co_return co_await client.send(admin, std::move(request), Clock::now() + askTimeout);
}

/// \brief Fetches the trace of a request from the daemon at \a admin; empty if it has none.
json::object traceOf(OperatorContext &context, const Endpoint &admin, const std::string &requestId)
{
    const auto response = context.run(askTrace(context.client(), admin, requestId));
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

std::string textFor(const json::object &trace, const std::string &entry)
{
    const std::string refused = textOf(trace, "refused");
    const std::string head = "search of index " + textOf(trace, "index") + ", rank "
        + textOf(trace, "rank") + ", at " + entry;
    if (!refused.empty())
        return head + "\nrefused before any relay was asked: " + refused + "\n";
    return head + "\nsnapshot " + std::to_string(numberOf(trace, "snapshot")) + ", "
        + std::to_string(numberOf(trace, "answered")) + " of "
        + std::to_string(numberOf(trace, "shards")) + " shards answered, "
        + std::to_string(numberOf(trace, "extra_legs")) + " extra legs\n" + missingText(trace)
        + slicesText(trace);
}

} // namespace

OperatorReport explainRequest(OperatorContext &context, const OperatorOptions &options,
                              const std::string &requestId)
{
    const auto fleet = askFleet(context, options);
    if (!isOk(fleet))
        return OperatorReport::failure("cannot read the host list", errorOf(fleet));
    std::size_t asked = 0;
    for (const DaemonStatus &daemon : valueOf(fleet)) {
        if (!daemon.isAnswering)
            continue;
        ++asked;
        json::object trace = traceOf(context, daemon.admin, requestId);
        if (trace.empty())
            continue;
        OperatorReport report;
        report.text = textFor(trace, daemon.label);
        report.json = {{"entry", daemon.label}, {"request", std::move(trace)}};
        return report;
    }
    const Error error(ErrorCode::NotFound, "no_such_request",
                      requestId + " is not among the recent searches of the "
                          + std::to_string(asked) + " responding daemons");
    return OperatorReport::failure("cannot explain", error);
}

} // namespace gwt
