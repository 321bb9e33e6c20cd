#include "gateway/backends/ServerConnector.h"

#include "common/Log.h"

namespace gwt {

namespace {

constexpr std::size_t maxReplyBytes = 8U << 20U;
/// Covers round trip, handshake and the server's accept; after it the server counts as unreachable.
constexpr Milliseconds connectTimeout{300};
/// From the handshake until a server at its connection limit has closed the connection. A request
/// that is sent before may be lost with it, and then counts as one that may have run.
constexpr Milliseconds acceptTime{10};

} // namespace

ServerConnector::ServerConnector(PoolContext &context, const std::string &service,
                                 std::function<void()> onChange)
    : m_context(context)
    , m_service(service)
    , m_onChange(std::move(onChange))
{ }

void ServerConnector::open(const std::shared_ptr<BackendServer> &server, int maxConnections)
{
    server->closeIdleConnectionsAbove(maxConnections - 1);
    if (server->connections() >= maxConnections)
        return;
    server->beginConnect();
    auto connection
        = std::make_shared<ClientConnection>(m_context.ioContext, m_context.timers, maxReplyBytes,
                                             ClientConnection::Probing::Off, &m_context.replyBytes);
    connection->connect(server->entry().address, connectTimeout,
                        [this, server, connection](const Outcome<Done> &outcome) {
                            if (isOk(outcome)) {
                                onConnected(server, connection);
                                return;
                            }
                            server->endConnect();
                            onFailed(*server, errorOf(outcome));
                            m_onChange();
                        });
}

void ServerConnector::onConnected(const std::shared_ptr<BackendServer> &server,
                                  const std::shared_ptr<ClientConnection> &connection)
{
    connection->onIdleClose([this, weak = std::weak_ptr(server), raw = connection.get()] {
        const auto owner = weak.lock();
        if (!owner)
            return;
        if (!raw->hasReceivedResponse())
            backOff(*owner);
        owner->removeConnection(raw);
    });
    if (!server->wasAtConnectionLimit(Clock::now())) {
        add(server, connection);
        return;
    }
    m_context.timers.after(acceptTime,
                           [this, server, connection] { addIfAccepted(server, connection); });
}

void ServerConnector::addIfAccepted(const std::shared_ptr<BackendServer> &server,
                                    const std::shared_ptr<ClientConnection> &connection)
{
    if (connection->isOpen()) {
        add(server, connection);
        return;
    }
    server->endConnect();
    m_onChange();
}

void ServerConnector::add(const std::shared_ptr<BackendServer> &server,
                          const std::shared_ptr<ClientConnection> &connection)
{
    server->endConnect();
    server->addConnection(connection);
    if (!server->isUsable())
        server->closeIdleConnections();
    m_onChange();
}

void ServerConnector::onFailed(BackendServer &server, const Error &error)
{
    if (error.reason == "connect_reset") {
        backOff(server);
        return;
    }
    server.score().record(SendResult::Unreachable, Duration::zero(), Duration::zero(),
                          Clock::now());
    logInfo("backend_unreachable",
            {{"service", m_service},
             {"backend", server.entry().id},
             {"reason", error.reason},
             {"detail", error.detail}});
}

void ServerConnector::backOff(BackendServer &server)
{
    server.backOffConnects(Clock::now());
    m_context.metrics
        .counter("gwt_gateway_connects_held_total",
                 "Connections that a backend server at its limit did not take")
        .Increment();
    m_context.timers.at(server.connectBackoffUntil(), [onChange = m_onChange] { onChange(); });
}

} // namespace gwt
