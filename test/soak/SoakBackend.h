#pragma once

#include "LoopbackProxy.h"
#include "NoticeCheck.h"
#include "ScriptedServer.h"

#include "common/Random.h"

#include <map>
#include <memory>

namespace gwt::test {

/// \brief Counts the executions of each request id over all backend servers.
using ExecutionCounts = std::map<std::string, int>;

/// \brief Backend server behind a proxy; its records are a function of service and request id.
class SoakBackend
{
public:
    enum class Mode {
        Serves,
        Slow, ///< takes 300 ms per request
        Full, ///< refuses without executing the request
        Sheds, ///< refuses, and asks for no requests for a while
        Fails, ///< executes the request and answers 500
        RefusesAfterwards, ///< executes the request and answers 408, 429 or 503
        LosesReplies, ///< executes the request and closes the connection without a reply
        RepeatsReplies, ///< sends each reply twice
        SendsSurplus, ///< sends a refusal without an id some time behind each reply
        NeverEndsReplies ///< sends a header, a body or a trailer until the caller closes
    };

    SoakBackend(boost::asio::io_context &context, TimerQueue &timers, std::string service,
                std::string id, ExecutionCounts &runs, NoticeCheck &notices, std::uint64_t seed);

    const std::string &id() const { return m_id; }
    const std::string &service() const { return m_service; }
    Endpoint endpoint() const { return m_proxy.endpoint(); }
    LoopbackProxy &proxy() { return m_proxy; }
    void setMode(Mode mode) { m_mode = mode; }
    /// \brief \a handler runs at each execution, with the id of the request.
    void setExecutionHandler(std::function<void(const std::string &id)> handler)
    {
        m_onExecution = std::move(handler);
    }
    /// \brief States in all responses from now on that this server is leaving.
    void announceLeaving() { m_isLeaving = true; }
    /// \brief Continues as a new instance under the same id.
    void restart();
    /// \brief Start time of this instance.
    int born() const { return m_born; }

    /// \brief Returns the records that each backend server of \a service sends for request \a id.
    static std::string records(const std::string &service, const std::string &id);
    /// \brief Returns the signature that a backend server puts on these records.
    static std::string signature(const std::string &service, const std::string &id);

private:
    ScriptedReply refusal(const ServerRequest &request, int status, std::string fields);
    ScriptedReply endlessReply(const std::string &fields);
    ScriptedReply answer(const ServerRequest &request);

    const std::string m_service;
    const std::string m_id;
    ExecutionCounts &m_executions;
    NoticeCheck &m_notices;
    RandomEngine m_random;
    Mode m_mode = Mode::Serves;
    std::function<void(const std::string &id)> m_onExecution = [](const std::string &) {};
    bool m_isLeaving = false;
    int m_born = 1;
    ScriptedServer m_server;
    LoopbackProxy m_proxy;
};

} // namespace gwt::test
