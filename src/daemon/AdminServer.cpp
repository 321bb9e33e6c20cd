#include "daemon/AdminServer.h"

namespace gwt {

namespace {

HttpServerLimits adminLimits(const HostLimits &host)
{
    HttpServerLimits limits;
    limits.maxBodyBytes = 4096; // no admin path reads a body
    limits.maxConnections = host.maxAdminConnections();
    limits.receiveBufferBytes = host.receiveBufferBytes();
    return limits;
}

} // namespace

AdminServer::AdminServer(Executor executor, const HostLimits &limits, ServerMemory &memory,
                         const Readiness &readiness, const Metrics &metrics,
                         std::function<std::string()> status, Inspector inspect)
    : m_readiness(readiness)
    , m_metrics(metrics)
    , m_status(std::move(status))
    , m_inspect(std::move(inspect))
    , m_server(
          std::move(executor), adminLimits(limits),
          [this](HttpRequest request) -> Task<HttpResponse> { co_return answer(request); }, {},
          &memory)
{ }

HttpResponse AdminServer::answer(const HttpRequest &request) const
{
    const std::string path = request.path();
    if (path == "/healthz")
        return HttpResponse::json(200, "{\"status\":\"alive\"}");
    if (path == "/readyz") {
        return HttpResponse::json(m_readiness.isReady() ? 200 : 503,
                                  "{\"status\":\"" + std::string(toString(m_readiness.state()))
                                      + "\"}");
    }
    if (path == "/metrics")
        return HttpResponse::text(200, m_metrics.text());
    if (path == "/status")
        return HttpResponse::json(200, m_status());
    if (const std::optional<std::string> found = m_inspect(path))
        return HttpResponse::json(200, *found);
    return HttpResponse::json(404, R"({"error":{"code":"no_such_path"}})");
}

} // namespace gwt
