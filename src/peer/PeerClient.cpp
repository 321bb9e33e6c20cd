#include "peer/PeerClient.h"

#include "peer/ConnectAttempt.h"
#include "peer/internal/Http2Session.h"

#include <atomic>
#include <map>
#include <mutex>
#include <vector>

namespace gwt {

using asio::ip::tcp;
using internal::Http2Session;
using SessionPtr = std::shared_ptr<Http2Session>;

namespace {

/// \brief True if \a session has ended and the remote did not process the call.
bool isSafeToRetry(const SessionPtr &session, const Outcome<PeerReply> &reply)
{
    if (!session || session->acceptsCalls() || isOk(reply))
        return false;
    const Error &error = errorOf(reply);
    const bool isUnprocessed = error.reason == "session_closed" || error.reason == "stream_refused";
    return error.code == ErrorCode::Unavailable && isUnprocessed;
}

} // namespace

struct PeerClient::Impl : std::enable_shared_from_this<PeerClient::Impl>
{
    Impl(Executor clientExecutor, Milliseconds timeout, prometheus::Counter *retryCounter)
        : executor(std::move(clientExecutor))
        , connectTimeout(timeout)
        , retries(retryCounter ? *retryCounter : unregisteredRetries)
    { }

    /// \brief A connect in progress and the calls that wait for it.
    struct PendingConnect
    {
        std::vector<OneShot<SessionPtr>> waiters;
    };

    Task<SessionPtr> session(const Endpoint &remote, TimePoint deadline);
    Task<Outcome<PeerReply>> callOnSession(SessionPtr session, Endpoint remote,
                                           PeerRequest request);
    Task<void> connect(Endpoint remote);
    void finishConnect(const Endpoint &remote, const SessionPtr &session);

    Executor executor;
    Milliseconds connectTimeout;
    std::atomic<int> inProgress = 0;
    prometheus::Counter unregisteredRetries; ///< used without metrics
    prometheus::Counter &retries;
    std::mutex mutex; ///< guards sessions and pendingConnects
    std::map<Endpoint, SessionPtr> sessions;
    std::map<Endpoint, PendingConnect> pendingConnects;
};

Task<SessionPtr> PeerClient::Impl::session(const Endpoint &remote, TimePoint deadline)
{
    OneShot<SessionPtr> ready;
    {
        const std::lock_guard lock(mutex);
        const auto found = sessions.find(remote);
        if (found != sessions.end() && found->second->acceptsCalls())
            co_return found->second;
        const bool isFirst = pendingConnects.find(remote) == pendingConnects.end();
        pendingConnects[remote].waiters.push_back(ready);
        if (isFirst)
            spawn(asio::make_strand(executor), connect(remote));
    }
    co_return co_await ready.waitUntil(deadline, nullptr);
}

Task<void> PeerClient::Impl::connect(Endpoint remote)
{
    const auto self = shared_from_this();
    tcp::socket socket(co_await asio::this_coro::executor);
    boost::system::error_code failure = co_await connectWithin(socket, remote, connectTimeout);
    if (failure) {
        finishConnect(remote, nullptr);
        co_return;
    }
    socket.set_option(tcp::no_delay(true), failure);
    auto session = std::make_shared<Http2Session>(std::move(socket), nullptr, nullptr);
    session->start();
    // A listener that closes resets the connections in its accept queue without a GOAWAY. Calls
    // wait for the remote's SETTINGS, so that such a reset proves that none was sent.
    const bool isEstablished
        = co_await session->settingsReceived().waitUntil(Clock::now() + connectTimeout, false);
    if (!isEstablished)
        session->close();
    finishConnect(remote, isEstablished ? session : nullptr);
}

void PeerClient::Impl::finishConnect(const Endpoint &remote, const SessionPtr &session)
{
    PendingConnect done;
    {
        const std::lock_guard lock(mutex);
        done = std::move(pendingConnects[remote]);
        pendingConnects.erase(remote);
        if (session)
            sessions[remote] = session;
        else
            sessions.erase(remote);
    }
    for (const auto &waiter : done.waiters)
        waiter.set(session);
}

PeerClient::PeerClient(Executor executor, Milliseconds connectTimeout)
    : m_impl(std::make_shared<Impl>(std::move(executor), connectTimeout, nullptr))
{ }

PeerClient::PeerClient(Executor executor, Milliseconds connectTimeout, Metrics &metrics)
    : m_impl(std::make_shared<Impl>(
        std::move(executor), connectTimeout,
        &metrics.counter("gwt_peer_calls_repeated_total",
                         "Calls made again because a session had proved to have ended first")))
{ }

PeerClient::~PeerClient()
{
    const std::lock_guard lock(m_impl->mutex);
    for (const auto &[remote, session] : m_impl->sessions)
        session->close();
}

Task<Outcome<PeerReply>> PeerClient::Impl::callOnSession(SessionPtr session, Endpoint remote,
                                                         PeerRequest request)
{
    if (!session)
        co_return Error{ErrorCode::Unavailable, "connect_failed", toString(remote)};
    const TimePoint deadline = request.deadline;
    const CancelToken callerCancel = request.cancel;
    request.cancel = CancelToken();
    const CancelToken streamCancel = request.cancel;
    OneShot<Outcome<PeerReply>> result;
    // The result is set first; otherwise the stream reset would be reported as "stream_lost".
    const auto registration = callerCancel.onCancel([streamCancel, result] {
        result.set(Error{ErrorCode::Cancelled, "cancelled", ""});
        streamCancel.cancel();
    });
    session->call(std::move(request),
                  [result](Outcome<PeerReply> reply) { result.set(std::move(reply)); });
    Outcome<PeerReply> reply
        = co_await result.waitUntil(deadline, Error{ErrorCode::Timeout, "deadline", ""});
    if (!isOk(reply))
        streamCancel.cancel();
    co_return reply;
}

Task<Outcome<PeerReply>> PeerClient::call(const Endpoint &remote, PeerRequest request)
{
    const auto impl = m_impl;
    ++impl->inProgress;
    SessionPtr session = co_await impl->session(remote, request.deadline);
    Outcome<PeerReply> reply = co_await impl->callOnSession(session, remote, request);
    if (isSafeToRetry(session, reply)) {
        impl->retries.Increment();
        session = co_await impl->session(remote, request.deadline);
        reply = co_await impl->callOnSession(session, remote, std::move(request));
    }
    --impl->inProgress;
    if (isOk(reply) && valueOf(reply).status == 503)
        co_return Error{ErrorCode::Unavailable, "draining", toString(remote)};
    if (isOk(reply) && valueOf(reply).status != 200) {
        co_return Error{ErrorCode::Malformed, "bad_status",
                        toString(remote) + ": status " + std::to_string(valueOf(reply).status)};
    }
    co_return reply;
}

int PeerClient::callsInProgress() const
{
    return m_impl->inProgress;
}

std::uint64_t PeerClient::callsRetried() const
{
    return static_cast<std::uint64_t>(m_impl->retries.Value());
}

} // namespace gwt
