#include "http/RequestStream.h"

#include "common/Assert.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace gwt {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Beyond the limit of the header, for the parser leaves an incomplete chunk header or trailer
/// unparsed.
constexpr std::size_t unparsedSlack = 4096;

bool isContinueExpectation(std::string_view value)
{
    return boost::beast::iequals({value.data(), value.size()}, "100-continue");
}

} // namespace

RequestStream::RequestStream(const RequestSizeLimits &limits)
    : m_limits(limits)
{ }

void RequestStream::append(const char *data, std::size_t size)
{
    m_waiting.commit(asio::buffer_copy(m_waiting.prepare(size), asio::buffer(data, size)));
}

void RequestStream::beginRequest()
{
    m_parser.emplace(static_cast<std::uint32_t>(m_limits.maxHeaderBytes), m_limits.maxBodyBytes);
}

RequestStream::Status RequestStream::fail(const error_code &failure)
{
    m_failure = failure;
    return Status::Malformed;
}

void RequestStream::skipEmptyLines()
{
    if (m_parser && m_parser->got_some())
        return;
    const auto startsWithEmptyLine = [this] {
        const auto bytes = static_cast<const char *>(m_waiting.data().data());
        return m_waiting.size() >= 2 && bytes[0] == '\r' && bytes[1] == '\n';
    };
    while (startsWithEmptyLine())
        m_waiting.consume(2);
}

RequestStream::Status RequestStream::parse()
{
    if (m_failure)
        return Status::Malformed;
    if (!m_parser && m_waiting.size() == 0)
        return Status::Incomplete;
    if (!m_parser)
        beginRequest();
    const bool hadHeader = m_parser->is_header_done();
    while (m_waiting.size() > 0 && !m_parser->is_done()) {
        error_code failure;
        m_waiting.consume(m_parser->put(m_waiting.data(), failure));
        if (failure == http::error::need_more)
            break;
        if (failure)
            return fail(failure);
    }
    if (m_parser->is_done())
        return Status::Complete;
    if (!hadHeader && m_parser->is_header_done())
        m_expectsContinue = isContinueExpectation(m_parser->request().field("Expect"));
    // The parser limits the header and the body, but not chunk headers and trailers.
    if (m_waiting.size() > m_limits.maxHeaderBytes + unparsedSlack)
        return fail(http::error::header_limit);
    return Status::Incomplete;
}

WireRequest RequestStream::take()
{
    GWT_ASSERT(m_parser && m_parser->is_done(), "a request is taken once it is complete");
    WireRequest request = m_parser->release();
    m_parser.reset();
    m_expectsContinue = false;
    return request;
}

std::size_t RequestStream::heldBytes() const
{
    return m_waiting.capacity()
        + (m_parser ? m_parser->headBytes() + m_parser->request().body.capacity() : 0);
}

std::size_t RequestStream::expectedBytes() const
{
    // A buffer that grows has up to twice the capacity that it needs.
    constexpr std::size_t growth = 2;
    if (!isHeaderDone())
        return heldBytes() + growth * m_limits.maxHeaderBytes;
    const std::string &body = m_parser->request().body;
    const auto rest = m_parser->content_length_remaining();
    const std::size_t whole = rest ? body.size() + *rest : m_limits.maxBodyBytes;
    const std::size_t missing = whole > body.capacity() ? growth * whole - body.capacity() : 0;
    return heldBytes() + missing;
}

std::size_t RequestStream::requestBytes() const
{
    return m_parser ? m_parser->headBytes() + m_parser->request().body.size() : 0;
}

void RequestStream::shrink(std::size_t keptBytes)
{
    if (m_waiting.size() == 0 && m_waiting.capacity() > keptBytes)
        m_waiting.shrink_to_fit();
}

void RequestStream::clear()
{
    m_parser.reset();
    m_waiting.clear();
    m_waiting.shrink_to_fit();
}

bool RequestStream::takeContinueExpectation()
{
    return std::exchange(m_expectsContinue, false);
}

unsigned RequestStream::statusFor(const error_code &failure)
{
    if (failure == http::error::header_limit || failure == http::error::buffer_overflow)
        return 431;
    return failure == http::error::body_limit ? 413 : 400;
}

std::string RequestStream::field(std::string_view name) const
{
    return isHeaderDone() ? std::string(m_parser->request().field(name)) : std::string();
}

} // namespace gwt
