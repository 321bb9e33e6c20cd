#pragma once

#include "common/CancelToken.h"
#include "relay/BackendConnections.h"
#include "relay/BackendReply.h"

namespace gwt {

/// \brief Result and duration of one search request to a backend server.
struct SearchLegEnd
{
    Outcome<SearchLegReply> reply;
    Duration elapsed{}; ///< until the reply arrived or the request was abandoned
};

/// \brief Client of the backend servers' HTTP protocol; see docs/PROTOCOL.md.
class BackendClient
{
public:
    explicit BackendClient(BackendConnections &connections);

    /// \brief Sends one search request. A cancelled or timed-out request returns once the server
    /// has closed the connection too, or after BackendConnections::s_closeGrace.
    ///
    /// Errors besides those of HttpConnection and BackendConnections::take(): NotRun "shed", NotRun
    /// "draining", NotFound "version_gone", Malformed "foreign_reply" (another request's id),
    /// "wrong_version", "bad_reply".
    Task<SearchLegEnd> search(BackendTarget server, SearchLeg leg, TimePoint deadline,
                              CancelToken cancel);

    /// \brief Sends one booking without retries and returns its result.
    ///
    /// Errors with provesNotRun(code) prove that the booking was not run; after any other error the
    /// outcome is unknown.
    Task<Outcome<std::string>> book(BackendTarget server, BookingLeg leg, TimePoint deadline);

private:
    BackendConnections &m_connections;
};

} // namespace gwt
