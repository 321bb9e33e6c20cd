#include "http/RequestParser.h"

#include "common/Assert.h"

#include <boost/beast/http/error.hpp>

#include <utility>

namespace gwt {

namespace http = boost::beast::http;

RequestParser::RequestParser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes)
{
    eager(true);
    header_limit(maxHeaderBytes);
    body_limit(maxBodyBytes);
}

WireRequest RequestParser::release()
{
    GWT_ASSERT(is_done(), "a request is released once it is complete");
    return std::move(m_request);
}

void RequestParser::on_request_impl(http::verb, StringView methodText, StringView target, int,
                                    Failure &)
{
    m_request.method.assign(methodText.data(), methodText.size());
    m_request.target.assign(target.data(), target.size());
    m_headBytes += methodText.size() + target.size();
}

void RequestParser::on_response_impl(int, StringView, int, Failure &) { }

void RequestParser::on_field_impl(http::field, StringView nameText, StringView value, Failure &)
{
    if (is_header_done())
        return;
    m_request.fields.push_back({{nameText.data(), nameText.size()}, {value.data(), value.size()}});
    m_headBytes += sizeof(m_request.fields.back()) + nameText.size() + value.size();
}

void RequestParser::on_header_impl(Failure &failure)
{
    // Where such a body ends is unknown, and what is in it must not be taken for a request.
    if (!chunked() && m_request.count("Transfer-Encoding") > 0) {
        failure = http::error::bad_transfer_encoding;
        return;
    }
    m_request.keepAlive = keep_alive();
    m_request.hasBody = chunked() || content_length().has_value();
}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t> &, Failure &) { }

std::size_t RequestParser::on_body_impl(StringView body, Failure &)
{
    m_request.body.append(body.data(), body.size());
    return body.size();
}

void RequestParser::on_chunk_header_impl(std::uint64_t, StringView, Failure &) { }

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t, StringView body, Failure &)
{
    m_request.body.append(body.data(), body.size());
    return body.size();
}

void RequestParser::on_finish_impl(Failure &) { }

} // namespace gwt
