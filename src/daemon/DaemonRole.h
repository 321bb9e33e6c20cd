#pragma once

#include "common/Outcome.h"
#include "common/Task.h"

#include <optional>
#include <string>

namespace gwt {

/// \brief The part of a daemon that differs by role.
class DaemonRole
{
public:
    virtual ~DaemonRole() = default;

    /// \brief Registers the role's peer routes and opens its listeners.
    virtual Outcome<Done> start() = 0;
    /// \brief Returns whether the role can serve, assuming that a configuration is active.
    virtual bool isReady() const = 0;
    /// \brief Signals callers to use other daemons; new requests are still served.
    virtual void startDraining() { }
    /// \brief Closes the role's listeners; requests in progress continue.
    virtual void stopAccepting() = 0;
    /// \brief Answers the requests of callers that are still in progress, without a result.
    virtual void endRequests() { }
    /// \brief Releases or transfers what the role owns; runs while draining.
    virtual Task<void> handOver() = 0;
    virtual int requestsInProgress() const = 0;
    /// \brief Returns a JSON object for /status.
    virtual std::string statusJson() const = 0;
    /// \brief Returns the JSON object for another admin path; nullopt if the path doesn't exist.
    virtual std::optional<std::string> inspect(const std::string &path) const;
};

inline std::optional<std::string> DaemonRole::inspect(const std::string &) const
{
    return std::nullopt;
}

} // namespace gwt
