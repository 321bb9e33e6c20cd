#pragma once

#include "gateway/callers/CallerConnection.h"

namespace gwt {

/// \brief A request of a CallerConnection that is being handled.
class CallerConnection::Exchange : public CallerExchange
{
public:
    Exchange(std::shared_ptr<CallerConnection> connection, WireRequest request, TimePoint arrivedAt,
             Duration networkTime)
        : m_connection(std::move(connection))
        , m_request(std::move(request))
        , m_arrivedAt(arrivedAt)
        , m_networkTime(networkTime)
    { }

    const WireRequest &request() const override { return m_request; }
    TimePoint arrivedAt() const override { return m_arrivedAt; }
    Duration networkTime() const override { return m_networkTime; }
    void respond(CallerResponse response) override
    {
        m_disconnectHandler = nullptr;
        m_endHandler = nullptr;
        const auto connection = std::exchange(m_connection, nullptr);
        if (!connection || !connection->isOpen())
            return;
        const bool keepAlive = m_request.keepAlive && connection->mayContinue();
        connection->write(response, m_request.method == "HEAD", keepAlive);
    }
    void onDisconnect(std::function<void()> handler) override
    {
        if (m_connection)
            m_disconnectHandler = std::move(handler);
    }
    void onEnd(EndHandler handler) override
    {
        if (m_connection)
            m_endHandler = std::move(handler);
    }
    void notifyEnd(const std::string &reason)
    {
        if (const auto handler = std::exchange(m_endHandler, nullptr))
            handler(reason);
    }
    void notifyDisconnect()
    {
        m_endHandler = nullptr;
        m_connection.reset();
        if (const auto handler = std::exchange(m_disconnectHandler, nullptr))
            handler();
    }

private:
    std::shared_ptr<CallerConnection> m_connection; ///< null once answered or disconnected
    WireRequest m_request;
    TimePoint m_arrivedAt;
    Duration m_networkTime;
    std::function<void()> m_disconnectHandler;
    EndHandler m_endHandler;
};

} // namespace gwt
