#include "http/RequestParsing.h"

#include "common/LowerCase.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

namespace gwt {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

std::string errorBody(std::string_view code, std::string_view message)
{
    return "{\"error\":{\"code\":\"" + std::string(code) + "\",\"message\":\""
        + std::string(message) + "\",\"run\":\"notRun\"}}";
}

} // namespace

HttpRequest toRequest(WireRequest message)
{
    HttpRequest request;
    request.method = std::move(message.method);
    request.target = std::move(message.target);
    for (WireRequest::Field &field : message.fields)
        request.headers[lowerCase(field.name)] = std::move(field.value);
    request.body = std::move(message.body);
    return request;
}

std::optional<HttpResponse> errorResponseFor(const error_code &failure)
{
    if (failure == http::error::body_limit)
        return HttpResponse::json(413, errorBody("body_too_large", "the body is too large"));
    if (failure == http::error::header_limit || failure == http::error::buffer_overflow)
        return HttpResponse::json(431, errorBody("headers_too_large", "the headers are too large"));
    if (failure == beast::error::timeout)
        return HttpResponse::json(408, errorBody("request_timeout", "the request came too slowly"));
    if (failure == boost::system::errc::not_enough_memory)
        return HttpResponse::json(408, errorBody("memory", "too little memory to read on"));
    if (failure == http::error::end_of_stream || failure == http::error::partial_message)
        return std::nullopt;
    if (failure.category() == http::make_error_code(http::error::bad_version).category())
        return HttpResponse::json(400, errorBody("bad_http", "the request is not HTTP/1.1"));
    return std::nullopt;
}

HttpResponse memoryRefusal()
{
    HttpResponse response = HttpResponse::json(503, errorBody("memory", "too little memory"));
    response.headers["retry-after"] = "1"; // s; callers that stall are ended sooner
    return response;
}

} // namespace gwt
