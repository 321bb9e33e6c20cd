#pragma once

#include "common/CancelToken.h"
#include "relay/BackendConnectionPool.h"
#include "relay/BackendReply.h"

namespace gwt {

/// \brief Result and duration of one search request to a backend server.
struct BackendSearchResult
{
    Outcome<BackendSearchReply> reply;
    Duration elapsed{}; ///< until the reply arrived or the request was abandoned
};

/// \brief Client of the backend servers' HTTP protocol; see docs/PROTOCOL.md.
class BackendClient
{
public:
    explicit BackendClient(BackendConnectionPool &connections);

    /// \brief Sends one search request. A cancelled or timed-out request returns once the server
    /// has closed the connection too, or after BackendConnectionPool::s_closeGrace.
    ///
    /// Errors besides those of HttpConnection and BackendConnectionPool::acquire(): NotRun "shed",
    /// NotRun "draining", NotFound "version_gone", Malformed "foreign_reply" (another request's
    /// id), "wrong_version", "bad_reply".
    Task<BackendSearchResult> search(BackendTarget server, BackendSearchRequest request,
                                     TimePoint deadline, CancelToken cancel);

    /// \brief Sends one booking without retries and returns its result.
    ///
    /// Errors with provesNotRun(code) prove that the booking was not run; after any other error the
    /// outcome is unknown.
    Task<Outcome<std::string>> book(BackendTarget server, BackendBookingRequest request,
                                    TimePoint deadline);

private:
    BackendConnectionPool &m_connections;
};

} // namespace gwt
