#pragma once

#include "common/Endpoint.h"
#include "common/TimerQueue.h"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gwt::test {

/// \brief A request that a ScriptedServer has received; of very long fields only the start.
using ServerRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// \brief Response of a ScriptedServer to one request.
struct ScriptedReply
{
    std::string bytes; ///< written unchanged; empty: no response
    Duration delay{0};
    bool closes = false; ///< after the bytes
    std::string endless = {}; ///< written after the bytes, again and again until the peer closes
    std::string late = {}; ///< written lateDelay after the bytes
    Duration lateDelay{0};
};

/// \brief HTTP server on a loopback port that answers by a script and records the requests.
class ScriptedServer
{
public:
    using Script = std::function<ScriptedReply(const ServerRequest &)>;

    ScriptedServer(boost::asio::io_context &context, TimerQueue &timers, Script script);
    ~ScriptedServer();

    Endpoint endpoint() const;
    const std::vector<ServerRequest> &requests() const { return m_requests; }
    /// \brief Returns the number of connections that the peer closed.
    int closedByPeer() const { return m_closedByPeer; }
    int accepted() const { return m_accepted; }
    void setScript(Script script) { m_script = std::move(script); }
    /// \brief Sets whether new connections are reset, as by a server at its connection limit.
    void setResetsNewConnections(bool resetsNewConnections)
    {
        m_resetsNewConnections = resetsNewConnections;
    }
    /// \brief Closes all connections.
    void closeAll();

private:
    struct Session;

    void accept();
    void read(const std::shared_ptr<Session> &session);
    void answer(const std::shared_ptr<Session> &session, const ServerRequest &request);
    static void write(const std::shared_ptr<Session> &session, const ScriptedReply &reply);
    static void writeEndlessly(const std::shared_ptr<Session> &session,
                               const std::shared_ptr<const std::string> &bytes);

    TimerQueue &m_timers;
    Script m_script;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<Session>> m_sessions;
    std::vector<ServerRequest> m_requests;
    int m_closedByPeer = 0;
    int m_accepted = 0;
    bool m_resetsNewConnections = false;
};

/// \brief Returns an HTTP response with \a fields (each ended by CRLF) and \a body.
std::string httpResponse(int status, const std::string &fields, const std::string &body);

/// \brief Runs \a context until \a isDone or \a limit has passed; returns isDone().
bool runUntil(boost::asio::io_context &context, const std::function<bool()> &isDone,
              Duration limit = std::chrono::seconds(10));

} // namespace gwt::test
