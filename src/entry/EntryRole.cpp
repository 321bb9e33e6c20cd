#include "entry/EntryRole.h"

#include "common/Log.h"
#include "entry/ApiError.h"

namespace gwt {

namespace {

const std::string bookingsPath = "/v1/bookings";
const std::string requestsPath = "/requests/";

/// Copies of a request in memory while it is handled: as received, as JSON, as a query, and for
/// each of up to four slices as a message, serialized, and in the session.
constexpr std::size_t handledCopies = 16;

/// \brief \a limits, as far as the host can bear them.
HttpServerLimits withinHost(HttpServerLimits limits, const HostLimits &host)
{
    limits.maxConnections = std::min(limits.maxConnections, host.maxCallers());
    limits.receiveBufferBytes = host.receiveBufferBytes();
    limits.handledCopies = handledCopies;
    const std::size_t mostBodyBytes = host.largestRequest(handledCopies);
    if (limits.maxBodyBytes > mostBodyBytes) {
        logWarning("body_limit_lowered",
                   {{"max_body_bytes", limits.maxBodyBytes}, {"lowered_to", mostBodyBytes}});
        limits.maxBodyBytes = mostBodyBytes;
    }
    return limits;
}

} // namespace

EntryOptions EntryOptions::read(Settings &settings)
{
    EntryOptions options;
    options.listen = settings.endpoint("entry.listen");
    options.limits.maxBodyBytes
        = static_cast<std::size_t>(settings.integer("entry.max_body_bytes", 1 << 20, 1, 64 << 20));
    options.limits.maxConnections
        = static_cast<std::size_t>(settings.integer("entry.max_connections", 10'000, 1, 1'000'000));
    options.limits.requestTimeout = settings.duration(
        "entry.request_timeout_ms", Milliseconds(10'000), Milliseconds(1), Milliseconds(600'000));
    options.limits.idleTimeout = settings.duration("entry.idle_timeout_ms", Milliseconds(60'000),
                                                   Milliseconds(1), Milliseconds(3'600'000));
    const std::string admission = settings.choice("entry.admission", "ranked", {"ranked", "none"});
    options.admission.isRanked = admission == "ranked";
    options.admission.concurrency.queueDelayTarget = settings.duration(
        "entry.queue_delay_target_ms", Milliseconds(40), Milliseconds(1), Milliseconds(60'000));
    options.admission.backgroundQueueLimit
        = static_cast<std::size_t>(settings.integer("entry.background_queue", 512, 0, 1'000'000));
    return options;
}

EntryRole::EntryRole(DaemonServices &services, EntryOptions options)
    : m_options(std::move(options))
    , m_gate(services.membership, m_options.admission, services.metrics)
    , m_search(services.pool.executor(), services.config, services.membership, services.peerClient,
               m_gate, services.metrics)
    , m_bookings(services.config, services.membership, services.peerClient, services.metrics)
    , m_server(
          services.pool.executor(), withinHost(m_options.limits, services.options.hostLimits),
          [this](HttpRequest request) { return route(std::move(request)); }, {},
          &services.serverMemory)
{ }

Outcome<Done> EntryRole::start()
{
    const Outcome<Endpoint> bound = m_server.listen(m_options.listen);
    if (!isOk(bound))
        return errorOf(bound);
    return Done{};
}

void EntryRole::endRequests()
{
    m_server.endRequests(apiError(504, "stopping", "the entry stops before the request is finished",
                                  RunStatus::Unknown, ""));
}

Task<HttpResponse> EntryRole::route(HttpRequest request)
{
    const std::string path = request.path();
    if (path == "/v1/search" && request.method == "POST")
        co_return co_await m_search.answer(std::move(request));
    if (path == bookingsPath && request.method == "POST")
        co_return co_await m_bookings.book(std::move(request));
    const bool isLookup = path.rfind(bookingsPath + "/", 0) == 0 && request.method == "GET";
    if (isLookup)
        co_return co_await m_bookings.lookUp(path.substr(bookingsPath.size() + 1));
    const bool isKnown = path == "/v1/search" || path.rfind(bookingsPath, 0) == 0;
    co_return apiError(isKnown ? 405 : 404, isKnown ? "wrong_method" : "no_such_path", path,
                       RunStatus::NotRun, "");
}

std::optional<std::string> EntryRole::inspect(const std::string &path) const
{
    if (path.rfind(requestsPath, 0) != 0)
        return std::nullopt;
    const auto trace = m_search.recentRequests().find(path.substr(requestsPath.size()));
    if (!trace)
        return std::nullopt;
    return toJson(*trace);
}

std::string EntryRole::statusJson() const
{
    return "{\"requests_in_progress\":" + std::to_string(m_server.requestsInProgress())
        + ",\"connections\":" + std::to_string(m_server.connections())
        + ",\"waiting_searches\":" + std::to_string(m_gate.queuedQueries()) + "}";
}

} // namespace gwt
