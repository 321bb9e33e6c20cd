#pragma once

#include "http/RequestParser.h"
#include "http/RequestSizeLimits.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace gwt {

/// \brief Splits the bytes of a connection into requests.
///
/// Each byte belongs to one request and each request is returned once, in order, however the bytes
/// are split into reads. Bytes of later requests wait until the request before them was taken.
class RequestStream
{
public:
    enum class Status {
        Incomplete, ///< needs more bytes
        Complete, ///< a request can be taken
        Malformed ///< see failure(); nothing more can be parsed
    };

    /// \brief \a limits must outlive the stream. Each request is held to those in force when its
    /// first byte is parsed.
    explicit RequestStream(const RequestSizeLimits &limits);

    void append(const char *data, std::size_t size);
    /// \brief Discards empty lines before a request, which some callers send after a body.
    void skipEmptyLines();
    /// \brief Parses the waiting bytes up to the end of the next request.
    Status parse();
    /// \brief Returns the complete request; requires that parse() returned Complete.
    WireRequest take();

    /// \brief Number of bytes that haven't been parsed yet.
    std::size_t waitingBytes() const { return m_waiting.size(); }
    /// \brief Bytes of memory that the waiting bytes and the next request occupy.
    std::size_t heldBytes() const;
    /// \brief Bytes of memory that the next request will occupy once it is complete, at most.
    std::size_t expectedBytes() const;
    /// \brief Bytes of the next request, as far as it has been parsed.
    std::size_t requestBytes() const;
    /// \brief Frees the buffer if it is empty and larger than \a keptBytes.
    void shrink(std::size_t keptBytes);
    /// \brief Discards all bytes.
    void clear();
    /// \brief True if the header of the next request has been parsed.
    bool isHeaderDone() const { return m_parser && m_parser->is_header_done(); }
    /// \brief True once for a request whose sender waits for "100 Continue" before the body.
    bool takeContinueExpectation();
    /// \brief Returns a field of the next request; empty until its header has been parsed.
    std::string field(std::string_view name) const;
    /// \brief The reason for Malformed, an error of Boost.Beast.
    const boost::system::error_code &failure() const { return m_failure; }
    /// \brief Status of the response to a request that ended with \a failure: 431 or 413 beyond a
    /// limit, else 400.
    static unsigned statusFor(const boost::system::error_code &failure);

private:
    void beginRequest();
    Status fail(const boost::system::error_code &failure);

    const RequestSizeLimits &m_limits;
    boost::beast::flat_buffer m_waiting;
    /// Of the next request; empty before its first byte is parsed.
    std::optional<RequestParser> m_parser;
    bool m_expectsContinue = false;
    boost::system::error_code m_failure;
};

} // namespace gwt
