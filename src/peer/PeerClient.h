#pragma once

#include "common/Endpoint.h"
#include "common/Metrics.h"
#include "common/Outcome.h"
#include "common/Task.h"
#include "peer/PeerMessage.h"

#include <cstdint>
#include <memory>

namespace gwt {

/// \brief Calls other daemons over HTTP/2, with one persistent session per remote. Thread-safe.
class PeerClient
{
public:
    PeerClient(Executor executor, Milliseconds connectTimeout);
    /// \brief Counts retried calls in \a metrics, which must outlive this object.
    PeerClient(Executor executor, Milliseconds connectTimeout, Metrics &metrics);
    ~PeerClient();

    /// \brief Sends \a request and returns the reply, within the request's deadline.
    ///
    /// Errors: Unavailable (not processed by the remote), Unknown "stream_lost" or Timeout
    /// "deadline" or Cancelled "cancelled" (the remote may have processed it), Malformed
    /// "bad_status". A call is retried once, on a new session, only if the first session has ended
    /// and proves that the call was not sent or not processed (GOAWAY).
    Task<Outcome<PeerReply>> call(const Endpoint &remote, PeerRequest request);

    /// \brief Number of calls in progress.
    int callsInProgress() const;
    /// \brief Number of calls retried on a new session so far.
    std::uint64_t callsRetried() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace gwt
