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

using ServerRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// \brief What a scripted server does with one request.
struct ScriptedReply
{
    std::string bytes; ///< written as they are; nothing is written if empty
    Duration delay{0};
    bool closes = false; ///< after the bytes
};

/// \brief An HTTP server on a loopback port that answers by a script and keeps what it saw.
class ScriptedServer
{
public:
    using Script = std::function<ScriptedReply(const ServerRequest &)>;

    ScriptedServer(boost::asio::io_context &context, TimerQueue &timers, Script script);
    ~ScriptedServer();

    Endpoint endpoint() const;
    const std::vector<ServerRequest> &requests() const { return m_requests; }
    /// \brief Connections that the other side closed.
    int closedByPeer() const { return m_closedByPeer; }
    int accepted() const { return m_accepted; }
    void setScript(Script script) { m_script = std::move(script); }
    /// \brief Resets each connection that comes from now on, as a server at its limit does.
    void setFull(bool isFull) { m_isFull = isFull; }
    /// \brief Closes all connections.
    void closeAll();

private:
    struct Session;

    void accept();
    void read(const std::shared_ptr<Session> &session);
    void answer(const std::shared_ptr<Session> &session, const ServerRequest &request);
    static void write(const std::shared_ptr<Session> &session, const ScriptedReply &reply);

    TimerQueue &m_timers;
    Script m_script;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<Session>> m_sessions;
    std::vector<ServerRequest> m_requests;
    int m_closedByPeer = 0;
    int m_accepted = 0;
    bool m_isFull = false;
};

/// \brief An HTTP response with \a fields (each ended by CRLF) and \a body.
std::string httpResponse(int status, const std::string &fields, const std::string &body);

/// \brief Runs \a context until \a isDone or \a limit has passed; true if it is done.
bool runUntil(boost::asio::io_context &context, const std::function<bool()> &isDone,
              Duration limit = std::chrono::seconds(10));

} // namespace gwt::test
