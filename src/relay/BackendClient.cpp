#include "relay/BackendClient.h"

#include "relay/BackendReply.h"

#include <boost/json.hpp>

namespace gwt {

namespace json = boost::json;

namespace {

constexpr Milliseconds bookingMaxIdleTime{500};

HttpRequest postRequest(const std::string &path, json::object body, const std::string &requestId,
                        TimePoint deadline)
{
    HttpRequest request;
    request.method = "POST";
    request.target = path;
    request.headers["Content-Type"] = "application/json";
    request.headers["Gwt-Request-Id"] = requestId;
    const auto left = std::chrono::duration_cast<Milliseconds>(timeLeft(deadline, Clock::now()));
    request.headers["Gwt-Time-Left-Ms"] = std::to_string(left.count());
    request.body = json::serialize(body);
    return request;
}

} // namespace

BackendClient::BackendClient(BackendConnectionPool &connections)
    : m_connections(connections)
{ }

Task<BackendSearchResult> BackendClient::search(BackendTarget server, BackendSearchRequest request,
                                                TimePoint deadline, CancelToken cancel)
{
    const TimePoint start = Clock::now();
    BackendSearchResult end;
    auto connection = co_await m_connections.acquire(server, deadline);
    if (!isOk(connection)) {
        end.reply = errorOf(connection);
        end.elapsed = Clock::now() - start;
        co_return end;
    }
    json::object body{{"request_id", request.requestId}, {"leg_id", request.attemptId},
                      {"index", request.index},          {"service", request.service},
                      {"version", request.version},      {"rank", request.rank},
                      {"query", request.query},          {"limit", request.limit}};
    const Outcome<HttpResponse> response
        = co_await valueOf(connection)
              ->exchange(postRequest("/search", std::move(body), request.requestId, deadline),
                         deadline, cancel);
    end.elapsed = Clock::now() - start;
    if (isOk(response))
        end.reply = parseSearchReply(valueOf(response), request);
    else
        end.reply = errorOf(response);
    const ErrorCode code = isOk(end.reply) ? ErrorCode::Internal : errorOf(end.reply).code;
    if (code == ErrorCode::Cancelled || code == ErrorCode::Timeout)
        co_await m_connections.close(server.address, std::move(valueOf(connection)));
    else
        m_connections.release(server.address, std::move(valueOf(connection)),
                              code != ErrorCode::Malformed);
    co_return end;
}

Task<Outcome<std::string>> BackendClient::book(BackendTarget server, BackendBookingRequest request,
                                               TimePoint deadline)
{
    auto connection = co_await m_connections.acquireFresh(server, bookingMaxIdleTime, deadline);
    if (!isOk(connection))
        co_return errorOf(connection);
    json::object body{{"request_id", request.requestId},
                      {"key", request.key},
                      {"attempt", request.attempt},
                      {"service", request.service},
                      {"payload", request.payload}};
    const Outcome<HttpResponse> response
        = co_await valueOf(connection)
              ->exchange(postRequest("/book", std::move(body), request.requestId, deadline),
                         deadline, {});
    Outcome<std::string> result = isOk(response) ? parseBookingReply(valueOf(response), request)
                                                 : Outcome<std::string>(errorOf(response));
    m_connections.release(server.address, std::move(valueOf(connection)), isOk(result));
    co_return result;
}

} // namespace gwt
