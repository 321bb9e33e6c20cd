#pragma once

#include "common/Metrics.h"
#include "daemon/Readiness.h"
#include "http/HttpServer.h"

#include <functional>
#include <optional>
#include <string>

namespace gwt {

/// \brief Serves /healthz, /readyz, /metrics, /status and the paths added by the daemon's role.
class AdminServer
{
public:
    /// \brief Returns the role's JSON object for a path; nullopt if the role doesn't serve the
    /// path.
    using Inspector = std::function<std::optional<std::string>(const std::string &path)>;

    AdminServer(Executor executor, const HostLimits &limits, ServerMemory &memory,
                const Readiness &readiness, const Metrics &metrics,
                std::function<std::string()> status, Inspector inspect);

    Outcome<Endpoint> listen(const Endpoint &local) { return m_server.listen(local); }
    /// \brief Closes the listener, and each connection after its next response.
    void stopAccepting() { m_server.stopAccepting(); }
    int connections() const { return m_server.connections(); }

private:
    HttpResponse answer(const HttpRequest &request) const;

    const Readiness &m_readiness;
    const Metrics &m_metrics;
    std::function<std::string()> m_status;
    Inspector m_inspect;
    HttpServer m_server;
};

} // namespace gwt
