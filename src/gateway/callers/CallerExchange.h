#pragma once

#include "common/Time.h"
#include "gateway/callers/CallerResponse.h"
#include "http/WireRequest.h"

#include <functional>
#include <string>

namespace gwt {

/// \brief One request of a caller and the means to respond to it.
class CallerExchange
{
public:
    virtual ~CallerExchange() = default;

    virtual const WireRequest &request() const = 0;
    /// \brief When the first byte of the request was read.
    virtual TimePoint arrivedAt() const = 0;
    /// \brief Network time that the caller spends before arrivedAt() and after the response: one
    /// round trip, and another for the connect if this is the connection's first request.
    virtual Duration networkTime() const = 0;
    /// \brief Sends the response; later calls are ignored.
    virtual void respond(CallerResponse response) = 0;
    /// \brief Sets \a handler, which runs once if the caller disconnects before the response.
    virtual void onDisconnect(std::function<void()> handler) = 0;
    /// \brief Runs with the reason, a stable lower-case name.
    using EndHandler = std::function<void(const std::string &reason)>;
    /// \brief Sets \a handler, which runs once if the request has to end before the response, as
    /// when the process stops. It must call respond().
    virtual void onEnd(EndHandler handler) = 0;
};

/// \brief Handles requests of callers.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;
    virtual void handle(std::shared_ptr<CallerExchange> exchange) = 0;
};

} // namespace gwt
