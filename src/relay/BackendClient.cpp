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

Task<BackendSearchResult> BackendClient::search(BackendTarget server, BackendSearchRequest leg,
                                                TimePoint deadline, CancelToken cancel)
{
    const TimePoint start = Clock::now();
    BackendSearchResult end;
    auto connection = co_await m_connections.take(server, deadline);
    if (!isOk(connection)) {
        end.reply = errorOf(connection);
        end.elapsed = Clock::now() - start;
        co_return end;
    }
    json::object body{{"request_id", leg.requestId}, {"leg_id", leg.attemptId},
                      {"index", leg.index},          {"service", leg.service},
                      {"version", leg.version},      {"rank", leg.rank},
                      {"query", leg.query},          {"limit", leg.limit}};
    const Outcome<HttpResponse> response
        = co_await valueOf(connection)
              ->exchange(postRequest("/search", std::move(body), leg.requestId, deadline), deadline,
                         cancel);
    end.elapsed = Clock::now() - start;
    if (isOk(response))
        end.reply = readSearchReply(valueOf(response), leg);
    else
        end.reply = errorOf(response);
    const ErrorCode code = isOk(end.reply) ? ErrorCode::Internal : errorOf(end.reply).code;
    if (code == ErrorCode::Cancelled || code == ErrorCode::Timeout)
        co_await m_connections.close(server.address, std::move(valueOf(connection)));
    else
        m_connections.give(server.address, std::move(valueOf(connection)),
                           code != ErrorCode::Malformed);
    co_return end;
}

Task<Outcome<std::string>> BackendClient::book(BackendTarget server, BackendBookingRequest leg,
                                               TimePoint deadline)
{
    auto connection = co_await m_connections.takeFresh(server, bookingMaxIdleTime, deadline);
    if (!isOk(connection))
        co_return errorOf(connection);
    json::object body{{"request_id", leg.requestId},
                      {"key", leg.key},
                      {"attempt", leg.attempt},
                      {"service", leg.service},
                      {"payload", leg.payload}};
    const Outcome<HttpResponse> response
        = co_await valueOf(connection)
              ->exchange(postRequest("/book", std::move(body), leg.requestId, deadline), deadline,
                         {});
    Outcome<std::string> result = isOk(response) ? readBookingReply(valueOf(response), leg)
                                                 : Outcome<std::string>(errorOf(response));
    m_connections.give(server.address, std::move(valueOf(connection)), isOk(result));
    co_return result;
}

} // namespace gwt
