#pragma once

#include "common/CancelToken.h"
#include "common/Endpoint.h"

#include <map>
#include <string>
#include <string_view>

namespace gwt {

/// \brief Header fields, keyed by lower-case name.
using HttpHeaders = std::map<std::string, std::string>;

/// \brief Decodes the percent-encoded bytes and plus signs of a path or query.
std::string percentDecode(std::string_view text);

/// \brief A complete HTTP/1.1 request.
struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/"; ///< path and query, as sent
    HttpHeaders headers;
    std::string body;
    bool isFirstOnConnection = false;
    CancelToken cancel; ///< cancelled when the caller closes its connection

    /// \brief The target up to the question mark.
    std::string path() const;
    /// \brief The decoded value of \a name in the query string; empty if absent.
    std::string queryValue(const std::string &name) const;
    /// \brief The value of header \a lowerCaseName; empty if absent.
    std::string header(const std::string &lowerCaseName) const;
};

/// \brief A complete HTTP/1.1 response.
struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    bool mustClose = false; ///< close the connection after this response

    std::string header(const std::string &lowerCaseName) const;

    static HttpResponse json(int status, std::string body);
    static HttpResponse text(int status, std::string body);
};

} // namespace gwt
