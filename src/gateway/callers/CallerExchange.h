#pragma once

#include "common/Time.h"
#include "gateway/forwarding/ForwardRequest.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace gwt {

/// \brief An answer to a caller. Length and persistence are added when it is written.
struct CallerResponse
{
    unsigned status = 200;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
};

/// \brief One request of a caller, and the place for its answer.
class CallerExchange
{
public:
    virtual ~CallerExchange() = default;

    virtual const WireRequest &request() const = 0;
    /// \brief When its first byte was read.
    virtual TimePoint arrivedAt() const = 0;
    /// \brief Time of the caller that has passed before arrivedAt() or will after the answer: the
    /// round trip, and that of the connect if it is the connection's first request.
    virtual Duration transit() const = 0;
    /// \brief Answers the request; only the first call counts.
    virtual void respond(CallerResponse response) = 0;
    /// \brief \a handler runs once if the caller closes its connection before it is answered.
    virtual void onCallerGone(std::function<void()> handler) = 0;
};

/// \brief Takes the requests of callers.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;
    virtual void handle(std::shared_ptr<CallerExchange> exchange) = 0;
};

} // namespace gwt
