#include "ScriptedServer.h"

#include "http/RequestParser.h"

namespace gwt::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::uint32_t maxHeaderBytes = 1U << 20U;
constexpr std::uint64_t maxBodyBytes = 8U << 20U;
constexpr std::size_t maxFieldBytes = 60'000; ///< what fields of Boost.Beast hold, roughly

ServerRequest toServerRequest(const WireRequest &received)
{
    ServerRequest request;
    request.method_string(received.method);
    request.target(received.target);
    for (const WireRequest::Field &field : received.fields)
        request.insert(field.name.substr(0, maxFieldBytes), field.value.substr(0, maxFieldBytes));
    request.body() = received.body;
    return request;
}

} // namespace

struct ScriptedServer::Session
{
    explicit Session(asio::ip::tcp::socket connected)
        : socket(std::move(connected))
    { }

    asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<RequestParser> parser;
};

ScriptedServer::ScriptedServer(asio::io_context &context, TimerQueue &timers, Script script)
    : m_timers(timers)
    , m_script(std::move(script))
    , m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
{
    accept();
}

ScriptedServer::~ScriptedServer()
{
    closeAll();
}

Endpoint ScriptedServer::endpoint() const
{
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
}

void ScriptedServer::closeAll()
{
    for (const auto &session : m_sessions) {
        error_code ignored;
        session->socket.close(ignored);
    }
    m_sessions.clear();
}

void ScriptedServer::accept()
{
    m_acceptor.async_accept([this](const error_code &failure, asio::ip::tcp::socket socket) {
        if (failure)
            return;
        ++m_accepted;
        if (m_resetsNewConnections) {
            error_code ignored;
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
            accept();
            return;
        }
        m_sessions.push_back(std::make_shared<Session>(std::move(socket)));
        read(m_sessions.back());
        accept();
    });
}

void ScriptedServer::read(const std::shared_ptr<Session> &session)
{
    session->parser.emplace(maxHeaderBytes, maxBodyBytes);
    http::async_read(session->socket, session->buffer, *session->parser,
                     [this, session](const error_code &failure, std::size_t) {
                         if (failure == asio::error::operation_aborted)
                             return;
                         if (failure) {
                             ++m_closedByPeer;
                             return;
                         }
                         const ServerRequest request = toServerRequest(session->parser->release());
                         m_requests.push_back(request);
                         read(session);
                         answer(session, request);
                     });
}

void ScriptedServer::answer(const std::shared_ptr<Session> &session, const ServerRequest &request)
{
    const ScriptedReply reply = m_script(request);
    if (!reply.late.empty())
        m_timers.after(reply.delay + reply.lateDelay,
                       [session, reply] { write(session, ScriptedReply{reply.late}); });
    if (reply.delay == Duration::zero()) {
        write(session, reply);
        return;
    }
    m_timers.after(reply.delay, [session, reply] { write(session, reply); });
}

void ScriptedServer::write(const std::shared_ptr<Session> &session, const ScriptedReply &reply)
{
    const auto bytes = std::make_shared<const std::string>(reply.bytes);
    asio::async_write(session->socket, asio::buffer(*bytes),
                      [session, bytes, reply](const error_code &, std::size_t) {
                          if (!reply.endless.empty())
                              writeEndlessly(session,
                                             std::make_shared<const std::string>(reply.endless));
                          if (!reply.closes)
                              return;
                          error_code ignored;
                          session->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
                          session->socket.close(ignored);
                      });
}

void ScriptedServer::writeEndlessly(const std::shared_ptr<Session> &session,
                                    const std::shared_ptr<const std::string> &bytes)
{
    asio::async_write(session->socket, asio::buffer(*bytes),
                      [session, bytes](const error_code &failure, std::size_t) {
                          if (!failure)
                              writeEndlessly(session, bytes);
                      });
}

std::string httpResponse(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool runUntil(asio::io_context &context, const std::function<bool()> &isDone, Duration limit)
{
    const TimePoint end = Clock::now() + limit;
    while (!isDone() && Clock::now() < end) {
        context.restart();
        context.run_for(Milliseconds(1));
    }
    return isDone();
}

} // namespace gwt::test
