#pragma once

#include "common/CancelToken.h"
#include "common/Outcome.h"
#include "common/Task.h"
#include "common/Time.h"
#include "http/HttpMessage.h"

#include <memory>

namespace gwt {

/// \brief One HTTP/1.1 client connection, kept alive between exchanges.
///
/// All work runs on the connection's own strand; exchange() may be awaited from any executor, one
/// exchange at a time.
/// \sa HttpClient
class HttpConnection
{
public:
    HttpConnection(const Executor &strand, Endpoint remote);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// \brief Connects. Errors: InvalidArgument "bad_endpoint", Unavailable "connect_failed" (also
    /// if the deadline passes, because nothing was sent).
    Task<Outcome<Done>> connect(TimePoint deadline);

    /// \brief Sends \a request and reads the response.
    ///
    /// The connection is not reusable after an error. Errors: Timeout "deadline", Cancelled
    /// "cancelled", Unknown "connection_lost", Malformed "bad_reply" or "reply_too_large".
    Task<Outcome<HttpResponse>> exchange(HttpRequest request, TimePoint deadline,
                                         CancelToken cancel);

    /// \brief True if the last exchange completed, and the server has neither closed the connection
    /// nor sent surplus bytes.
    bool isReusable() const;
    /// \brief Closes the connection and waits at most \a grace for the server to close it too,
    /// which acknowledges a cancel.
    Task<void> close(Duration grace);
    TimePoint lastUsed() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace gwt
