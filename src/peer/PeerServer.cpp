#include "peer/PeerServer.h"

#include "common/Listener.h"
#include "common/Sleep.h"

#include "peer/internal/Http2Session.h"

#include <boost/asio/as_tuple.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>

namespace gwt {

using asio::ip::tcp;
using boost::system::error_code;
using internal::Http2Session;

namespace {

constexpr Milliseconds acceptRetryDelay{20};

} // namespace

struct PeerServer::Impl : std::enable_shared_from_this<PeerServer::Impl>
{
    Impl(Executor serverExecutor, PeerMessageGate *messageGate)
        : executor(std::move(serverExecutor))
        , gate(messageGate)
        , acceptor(asio::make_strand(executor))
    { }

    Task<void> acceptLoop();
    void dispatch(const std::shared_ptr<Http2Session> &session, std::int32_t stream,
                  PeerRequest request);
    Task<void> handleRequest(std::shared_ptr<Http2Session> session, std::int32_t stream,
                             PeerRequest request);
    void startSession(tcp::socket socket);
    void closeListener();
    std::set<std::shared_ptr<Http2Session>> copySessions();

    Executor executor;
    PeerMessageGate *gate; ///< may be null
    tcp::acceptor acceptor;
    std::map<std::string, PeerHandler> routes;
    std::atomic<int> inProgress = 0;
    std::atomic<bool> isShuttingDown = false;
    std::mutex mutex; ///< guards sessions
    std::set<std::shared_ptr<Http2Session>> sessions;
};

Task<void> PeerServer::Impl::acceptLoop()
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        auto [failure, socket]
            = co_await acceptor.async_accept(asio::make_strand(executor), asTuple);
        if (failure == asio::error::operation_aborted || !acceptor.is_open())
            co_return;
        if (failure) {
            co_await sleepFor(acceptRetryDelay);
            continue;
        }
        startSession(std::move(socket));
    }
}

void PeerServer::Impl::startSession(tcp::socket socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto session = std::make_shared<Http2Session>(
        std::move(socket),
        [this](const auto &source, std::int32_t stream, PeerRequest request) {
            dispatch(source, stream, std::move(request));
        },
        [weak = weak_from_this()](const Http2Session *closed) {
            const auto server = weak.lock();
            if (!server)
                return;
            const std::lock_guard lock(server->mutex);
            std::erase_if(server->sessions,
                          [closed](const auto &one) { return one.get() == closed; });
        });
    {
        const std::lock_guard lock(mutex);
        sessions.insert(session);
    }
    session->start();
    if (isShuttingDown)
        session->shutDown();
}

void PeerServer::Impl::closeListener()
{
    error_code failure;
    acceptor.non_blocking(true, failure);
    // Callers in the accept queue are already connected; GOAWAY proves to them that nothing was
    // run.
    while (!failure) {
        tcp::socket socket(asio::make_strand(executor));
        acceptor.accept(socket, failure);
        if (!failure)
            startSession(std::move(socket));
    }
    acceptor.close(failure);
}

void PeerServer::Impl::dispatch(const std::shared_ptr<Http2Session> &session, std::int32_t stream,
                                PeerRequest request)
{
    if (gate && !gate->admit(request.body.size())) {
        session->refuse(stream);
        return;
    }
    ++inProgress;
    spawn(asio::make_strand(executor), handleRequest(session, stream, std::move(request)));
}

Task<void> PeerServer::Impl::handleRequest(std::shared_ptr<Http2Session> session,
                                           std::int32_t stream, PeerRequest request)
{
    const auto self = shared_from_this();
    const std::size_t bytes = request.body.size();
    const auto found = routes.find(request.path);
    PeerReply reply{404, ""};
    if (found != routes.end())
        reply = co_await found->second(std::move(request));
    session->respond(stream, std::move(reply));
    if (gate)
        gate->release(bytes);
    --inProgress;
}

std::set<std::shared_ptr<Http2Session>> PeerServer::Impl::copySessions()
{
    const std::lock_guard lock(mutex);
    return sessions;
}

PeerServer::PeerServer(Executor executor, PeerMessageGate *gate)
    : m_impl(std::make_shared<Impl>(std::move(executor), gate))
{ }

PeerServer::~PeerServer()
{
    closeAll();
}

void PeerServer::route(const std::string &path, PeerHandler handler)
{
    m_impl->routes[path] = std::move(handler);
}

Outcome<Endpoint> PeerServer::listen(const Endpoint &local)
{
    tcp::acceptor &acceptor = m_impl->acceptor;
    Outcome<Endpoint> bound = openListener(acceptor, local);
    if (isOk(bound))
        spawn(acceptor.get_executor(), m_impl->acceptLoop());
    return bound;
}

void PeerServer::shutDown()
{
    if (m_impl->isShuttingDown.exchange(true))
        return;
    asio::post(m_impl->acceptor.get_executor(), [impl = m_impl] { impl->closeListener(); });
    for (const auto &session : m_impl->copySessions())
        session->shutDown();
}

int PeerServer::requestsInProgress() const
{
    const int handled = m_impl->inProgress;
    const auto sessions = m_impl->copySessions();
    const auto busy = std::count_if(sessions.begin(), sessions.end(),
                                    [](const auto &session) { return session->isBusy(); });
    return std::max(handled, static_cast<int>(busy));
}

int PeerServer::sessions() const
{
    return static_cast<int>(m_impl->copySessions().size());
}

void PeerServer::closeAll()
{
    shutDown();
    for (const auto &session : m_impl->copySessions())
        session->close();
}

} // namespace gwt
