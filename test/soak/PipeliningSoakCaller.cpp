#include "PipeliningSoakCaller.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <utility>

namespace gwt::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

struct Kind
{
    const char *path;
    const char *service;
    const char *idMarker; ///< see SoakCaller::isUnsafe()
};

constexpr std::array kinds{Kind{"/safe/1", "single", "-"}, Kind{"/once/1", "single", "-once-"},
                           Kind{"/long/1", "long", "-"}};
constexpr std::uint64_t smallestBatch = 2;
constexpr std::uint64_t largestBatch = 5;
constexpr Milliseconds pause{15};
constexpr Milliseconds reconnectPause{50};
constexpr Milliseconds deadline{900};
/// The caller disconnects if the next response takes longer.
constexpr Milliseconds replyTimeout{1200};

} // namespace

struct PipeliningSoakCaller::Connection
{
    explicit Connection(asio::io_context &context)
        : socket(context)
    { }

    asio::ip::tcp::socket socket;
    std::string output;
    boost::beast::flat_buffer input;
    WireResponse response;
};

PipeliningSoakCaller::PipeliningSoakCaller(asio::io_context &context, TimerQueue &timers,
                                           SoakGateway &gateway, std::string name,
                                           std::uint64_t seed, SoakFindings &findings)
    : m_context(context)
    , m_timers(timers)
    , m_gateway(gateway)
    , m_name(std::move(name))
    , m_random(seed)
    , m_findings(findings)
{ }

void PipeliningSoakCaller::reportViolation(const std::string &what, const std::string &id)
{
    m_findings.violations.push_back(what + ", pipelined request " + id + " at " + m_gateway.name());
}

void PipeliningSoakCaller::recordFailure(const std::string &id, const std::string &reason)
{
    m_findings.failures.push_back(id + " at " + m_gateway.name() + ": " + reason);
}

void PipeliningSoakCaller::connect()
{
    if (m_isStopped)
        return;
    m_isClosing = false;
    m_connection = std::make_shared<Connection>(m_context);
    const Endpoint remote = m_gateway.callers();
    m_connection->socket.async_connect(
        {asio::ip::make_address(remote.address), remote.port},
        [this, connection = m_connection](const error_code &failure) {
            if (failure) {
                m_timers.after(reconnectPause, [this] { connect(); });
                return;
            }
            error_code ignored;
            connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            readResponse();
            sendBatch();
        });
}

std::string PipeliningSoakCaller::nextRequest()
{
    const Kind &kind = kinds.at(m_random() % kinds.size());
    m_waiting.push_back({m_name + kind.idMarker + std::to_string(++m_number), kind.service});
    return "GET " + std::string(kind.path)
        + " HTTP/1.1\r\nHost: soak\r\nX-Request-Id: " + m_waiting.back().id
        + "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n\r\n";
}

void PipeliningSoakCaller::sendBatch()
{
    if (m_isStopped)
        return;
    const std::uint64_t count = smallestBatch + m_random() % (largestBatch - smallestBatch + 1);
    m_connection->output.clear();
    for (std::uint64_t i = 0; i < count; ++i)
        m_connection->output += nextRequest();
    m_hasBatchResponse = false;
    m_sentAt = Clock::now();
    armReplyTimer();
    // A failure also ends the pending read.
    asio::async_write(m_connection->socket, asio::buffer(m_connection->output),
                      [connection = m_connection](const error_code &, std::size_t) {});
}

void PipeliningSoakCaller::armReplyTimer()
{
    m_timers.cancel(m_replyTimer);
    m_replyTimer = m_timers.after(replyTimeout, [this] { onReplyTimeout(); });
}

void PipeliningSoakCaller::readResponse()
{
    m_connection->response = {};
    http::async_read(m_connection->socket, m_connection->input, m_connection->response,
                     [this, connection = m_connection](const error_code &failure, std::size_t) {
                         if (connection != m_connection)
                             return;
                         if (failure)
                             onReadFailure(failure);
                         else
                             onResponse(connection->response);
                     });
}

void PipeliningSoakCaller::onResponse(const WireResponse &response)
{
    if (m_isClosing)
        reportViolation("a response after one that closes the connection", m_name);
    if (m_waiting.empty()) {
        reportViolation("a response without a request", m_name);
    } else {
        checkResponse(m_waiting.front(), response);
        m_waiting.pop_front();
        m_hasBatchResponse = true;
    }
    m_isClosing = m_isClosing || !response.keep_alive();
    if (!m_waiting.empty()) {
        armReplyTimer();
    } else {
        m_timers.cancel(m_replyTimer);
        if (!m_isClosing) {
            m_timers.after(pause, [this, connection = m_connection] {
                if (connection == m_connection)
                    sendBatch();
            });
        }
    }
    readResponse();
}

void PipeliningSoakCaller::checkResponse(const Request &request, const WireResponse &response)
{
    const unsigned status = response.result_int();
    if (status == 503) {
        ++m_findings.refusals;
        if (SoakCaller::isUnsafe(request.id))
            m_findings.refused.push_back(request.id);
        return;
    }
    if (status == 404)
        reportViolation("status 404 for a route that every configuration has", request.id);
    if (status != 200) {
        recordFailure(request.id, "status " + std::to_string(status));
        return;
    }
    ++m_findings.served;
    if (response["X-Request-Id"] != request.id)
        reportViolation("a response with the id " + std::string(response["X-Request-Id"]),
                        request.id);
    const bool matchesRecords
        = response["X-Server-Stamp"] == SoakBackend::signature(request.service, request.id)
        && response.body() == SoakBackend::records(request.service, request.id);
    if (!matchesRecords)
        reportViolation("the response differs from the backend server's records", request.id);
}

void PipeliningSoakCaller::onReadFailure(const error_code &failure)
{
    const bool isEarlyEnd
        = failure == http::error::end_of_stream || failure == http::error::partial_message;
    const bool isMalformed
        = failure.category() == http::make_error_code(http::error::bad_status).category()
        && !isEarlyEnd;
    if (isMalformed)
        reportViolation("malformed response: " + failure.message(), m_name);
    onEnd();
}

void PipeliningSoakCaller::onEnd()
{
    m_timers.cancel(m_replyTimer);
    const auto waited = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_sentAt);
    const bool mayCrossClose = m_isClosing || !m_hasBatchResponse;
    for (const Request &request : m_waiting) {
        recordFailure(request.id, "connection ended");
        if (m_gateway.killedAt() < m_sentAt)
            m_findings.unanswered.push_back({request.id, m_gateway.name(), waited, mayCrossClose});
    }
    m_waiting.clear();
    closeConnection();
    connect();
}

void PipeliningSoakCaller::closeConnection()
{
    error_code ignored;
    std::exchange(m_connection, nullptr)->socket.close(ignored);
}

void PipeliningSoakCaller::onReplyTimeout()
{
    for (const Request &request : m_waiting)
        recordFailure(request.id, "no response before the timeout");
    m_waiting.clear();
    closeConnection();
    connect();
}

} // namespace gwt::test
