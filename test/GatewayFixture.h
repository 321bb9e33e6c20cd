#pragma once

#include "ScriptedServer.h"
#include "gateway/Gateway.h"
#include "platform/PlatformHeaders.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace gwt::test {

using namespace std::chrono_literals;

inline const std::string signatureField = "X-Server-Stamp: signed\r\n";

inline std::string okResponse(const std::string &body, const std::string &fields = signatureField)
{
    return httpResponse(200, fields, body);
}

inline std::string fieldOf(const WireResponse &response, const std::string &name)
{
    return std::string(response[name]);
}

/// \brief Runs a gateway in this process in front of scripted backend servers.
class GatewayTest : public testing::Test
{
protected:
    explicit GatewayTest(PickerKind picker = PickerKind::Latency)
        : m_options(optionsWith(picker))
        , m_core(m_context, m_timers, m_options, m_headerNames, m_metrics)
        , m_callerServer(m_context,
                         CallerContext{m_timers, m_core, m_metrics, m_core.limits(), m_headerNames})
    {
        const auto bound = m_callerServer.listen({"127.0.0.1", 0});
        m_gatewayEndpoint = valueOf(bound);
        m_config.version = 1;
    }

    static GatewayOptions optionsWith(PickerKind picker)
    {
        GatewayOptions options{"host", "z", {0.2, 50, 10s}};
        options.picker = picker;
        return options;
    }

    ~GatewayTest() override
    {
        // Requests in progress keep each other alive until their last leg has ended.
        runUntil(m_context, [&] { return m_core.openAttempts() == 0; });
        runFor(5ms);
    }

    ScriptedServer &addServer(const std::string &service, ScriptedServer::Script script)
    {
        m_servers.push_back(
            std::make_unique<ScriptedServer>(m_context, m_timers, std::move(script)));
        BackendEntry entry;
        entry.id = "i-" + std::to_string(m_servers.size());
        entry.service = service;
        entry.address = m_servers.back()->endpoint();
        entry.availabilityZone = "z";
        entry.slots = 2;
        m_entries.push_back(entry);
        return *m_servers.back();
    }
    ScriptedServer &addServer(const std::string &service, const ScriptedReply &reply)
    {
        return addServer(service, [reply](const ServerRequest &) { return reply; });
    }

    Route &addRoute(const std::string &prefix)
    {
        Route route;
        route.name = prefix;
        route.host = "h";
        route.pathPrefix = prefix;
        route.isIdempotent = true;
        route.maxAttempts = 2;
        route.timeout = 2s;
        route.target = 200ms;
        m_config.routes.push_back(route);
        return m_config.routes.back();
    }
    void addSingleRoute(bool isIdempotent)
    {
        Route &route = addRoute("/one/");
        route.isIdempotent = isIdempotent;
        route.services = {{"s", 1}};
    }
    void addQueryRoute(const std::vector<std::string> &shards, double minShare)
    {
        Route &route = addRoute("/all/");
        route.query = {shards, 2, minShare};
    }

    void start()
    {
        for (const BackendEntry &entry : m_entries) {
            const bool isKnown = std::any_of(
                m_config.services.begin(), m_config.services.end(),
                [&](const ServiceSpec &service) { return service.name == entry.service; });
            if (!isKnown)
                m_config.services.push_back({entry.service, "/health", 50});
        }
        m_core.onConfig(m_config);
        m_core.onBackends(m_entries);
    }

    std::shared_ptr<ClientConnection> connect()
    {
        auto caller = std::make_shared<ClientConnection>(m_context, m_timers, 1U << 20U,
                                                         ClientConnection::Probing::Off);
        bool isOpen = false;
        caller->connect(m_gatewayEndpoint, 1s, [&](const Outcome<Done> &) { isOpen = true; });
        runUntil(m_context, [&] { return isOpen; });
        return caller;
    }

    /// A plain socket with a small receive buffer, for callers that read or write slowly.
    boost::asio::ip::tcp::socket connectRaw()
    {
        boost::asio::ip::tcp::socket caller(m_context, boost::asio::ip::tcp::v4());
        caller.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        caller.connect(
            {boost::asio::ip::make_address(m_gatewayEndpoint.address), m_gatewayEndpoint.port});
        return caller;
    }

    static std::string request(const std::string &path, const std::string &fields = "",
                               const std::string &body = "")
    {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\n" + fields + "\r\n"
            + body;
    }

    Outcome<WireResponse> exchange(const std::string &bytes)
    {
        const auto caller = connect();
        std::optional<Outcome<WireResponse>> result;
        caller->exchange(bytes, false, nullptr,
                         [&](Outcome<WireResponse> outcome) { result = std::move(outcome); });
        runUntil(m_context, [&] { return result.has_value(); });
        caller->close();
        if (!result)
            return Error{ErrorCode::Timeout, "no_answer"};
        return *result;
    }
    WireResponse sendRequest(const std::string &path, const std::string &fields = "")
    {
        const auto outcome = exchange(request(path, fields));
        return isOk(outcome) ? valueOf(outcome) : WireResponse{};
    }
    void runFor(Duration time)
    {
        runUntil(
            m_context, [] { return false; }, time);
    }

    boost::asio::io_context m_context;
    TimerQueue m_timers{m_context};
    Metrics m_metrics;
    const HeaderNames m_headerNames = platform::platformHeaders();
    GatewayOptions m_options;
    GatewayCore m_core;
    CallerServer m_callerServer;
    Endpoint m_gatewayEndpoint;
    RoutingConfig m_config;
    std::vector<BackendEntry> m_entries;
    std::vector<std::unique_ptr<ScriptedServer>> m_servers;
};

} // namespace gwt::test
