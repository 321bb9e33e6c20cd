#pragma once

#include "common/Endpoint.h"
#include "common/Outcome.h"
#include "common/Task.h"
#include "peer/PeerMessage.h"
#include "peer/PeerMessageGate.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace gwt {

/// \brief Handles one peer request. Must not throw.
using PeerHandler = std::function<Task<PeerReply>(PeerRequest)>;

/// \brief Accepts HTTP/2 sessions of other daemons and dispatches requests by path.
///
/// Handlers of one session run concurrently, each on its own strand.
class PeerServer
{
public:
    /// \brief \a gate may be null: every message is handled.
    explicit PeerServer(Executor executor, PeerMessageGate *gate = nullptr);
    ~PeerServer();

    /// \brief Registers \a handler for \a path; before listen() only.
    void route(const std::string &path, PeerHandler handler);
    /// \brief Binds and starts accepting. Port 0 selects a free port.
    Outcome<Endpoint> listen(const Endpoint &local);

    /// \brief Sends GOAWAY on all sessions and closes the listener; requests in progress continue.
    void shutDown();
    /// \brief Number of requests whose reply is not fully written.
    int requestsInProgress() const;
    /// \brief Number of open sessions. After shutDown(), each client closes its session once it has
    /// read all replies.
    int sessions() const;
    void closeAll();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace gwt
