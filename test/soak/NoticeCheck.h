#pragma once

#include "LoopbackProxy.h"
#include "ScriptedServer.h"
#include "SoakGateway.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace gwt::test {

/// \brief Checks, from what backend servers receive, that gateways obey what servers state: that
/// they are leaving, or for how long they want no requests.
///
/// A gateway that was restarted or paused since is excused, and so is one whose reply was lost in a
/// fault of the server's proxy.
class NoticeCheck
{
public:
    /// \brief Violations are appended to \a violations. Requests of caller N come through gateway
    /// N modulo the number of \a gateways.
    NoticeCheck(const std::vector<std::unique_ptr<SoakGateway>> &gateways,
                std::vector<std::string> &violations);

    /// \brief The response of \a backend to \a request states that it is leaving.
    void recordLeaving(const std::string &backend, const ServerRequest &request,
                       const LoopbackProxy &proxy);
    /// \brief The response of \a backend to \a request asks for a \a pause.
    void recordPause(const std::string &backend, const ServerRequest &request, Duration pause,
                     const LoopbackProxy &proxy);
    /// \brief Checks a \a request that \a backend has received.
    void checkRequest(const std::string &backend, const ServerRequest &request);
    /// \brief Drops what is known of \a backend, which continues as a new instance.
    void forget(const std::string &backend);
    /// \brief Number of requests that were received after a statement, in time or not.
    int notices() const { return m_notices; }

private:
    struct Notice
    {
        TimePoint statedAt;
        Duration pause{0}; ///< zero: the server is leaving
        const LoopbackProxy *proxy = nullptr;
        int requests = 0; ///< received in the time in which the server wants none
    };
    using Key = std::pair<std::string, const SoakGateway *>; ///< backend server and gateway

    const SoakGateway &gatewayOf(const ServerRequest &request) const;
    void record(const std::string &backend, const ServerRequest &request, const Notice &notice);
    static bool isBinding(const Notice &notice, const SoakGateway &gateway);

    const std::vector<std::unique_ptr<SoakGateway>> &m_gateways;
    std::vector<std::string> &m_violations;
    std::multimap<Key, Notice> m_stated;
    int m_notices = 0;
};

} // namespace gwt::test
