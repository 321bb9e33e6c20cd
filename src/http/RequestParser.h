#pragma once

#include "http/WireRequest.h"

#include <boost/beast/http/basic_parser.hpp>

#include <cstdint>

namespace gwt {

/// \brief Parses the bytes of one request.
///
/// Trailer fields are dropped: a recipient may not take them for fields of the header.
class RequestParser : public boost::beast::http::basic_parser<true>
{
public:
    /// \brief Limits in bytes: of the request line with the header, and of the body.
    RequestParser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes);

    /// \brief The request as far as it has been parsed.
    const WireRequest &request() const { return m_request; }
    /// \brief Bytes of memory that the request line and the fields occupy.
    std::size_t headBytes() const { return m_headBytes; }
    /// \brief Moves the request out; requires is_done().
    WireRequest release();

private:
    using Failure = boost::system::error_code;
    using StringView = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb method, StringView methodText, StringView target,
                         int version, Failure &failure) override;
    void on_response_impl(int status, StringView reason, int version, Failure &failure) override;
    void on_field_impl(boost::beast::http::field name, StringView nameText, StringView value,
                       Failure &failure) override;
    void on_header_impl(Failure &failure) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, Failure &failure) override;
    std::size_t on_body_impl(StringView body, Failure &failure) override;
    void on_chunk_header_impl(std::uint64_t size, StringView extensions, Failure &failure) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining, StringView body,
                                   Failure &failure) override;
    void on_finish_impl(Failure &failure) override;

    WireRequest m_request;
    std::size_t m_headBytes = 0;
};

} // namespace gwt
