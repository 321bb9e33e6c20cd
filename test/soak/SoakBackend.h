#pragma once

#include "LoopbackProxy.h"
#include "ScriptedServer.h"

#include "common/Random.h"

#include <map>
#include <memory>

namespace gwt::test {

/// \brief Runs of each request id over all backend servers, as they saw them.
using RunCounts = std::map<std::string, int>;

/// \brief A backend server behind a proxy: answers with records that follow from service and id.
class SoakBackend
{
public:
    enum class Mode {
        Serves,
        Slow, ///< 300 ms a request
        Full, ///< refuses without running
        Fails, ///< runs and answers 500
        LosesReplies, ///< runs and closes the connection
        RepeatsReplies ///< answers twice
    };

    SoakBackend(boost::asio::io_context &context, TimerQueue &timers, std::string service,
                std::string id, RunCounts &runs, std::uint64_t seed);

    const std::string &id() const { return m_id; }
    const std::string &service() const { return m_service; }
    Endpoint endpoint() const { return m_proxy.endpoint(); }
    LoopbackProxy &proxy() { return m_proxy; }
    void setMode(Mode mode) { m_mode = mode; }

    /// \brief The records that any backend server of \a service holds for request \a id.
    static std::string records(const std::string &service, const std::string &id);
    /// \brief The signature that it puts on them.
    static std::string signature(const std::string &service, const std::string &id);

private:
    ScriptedReply answer(const ServerRequest &request);

    const std::string m_service;
    const std::string m_id;
    RunCounts &m_runs;
    RandomEngine m_random;
    Mode m_mode = Mode::Serves;
    ScriptedServer m_server;
    LoopbackProxy m_proxy;
};

} // namespace gwt::test
