#pragma once

#include "common/Time.h"

#include <functional>
#include <string>

namespace gwt {

/// \brief Follows the platform's registry and applies its updates to a FleetState.
class RegistryFeed
{
public:
    virtual ~RegistryFeed() = default;

    /// \brief Registers this process and reads the members once; \a onDone runs in any case, at
    /// the latest after a call's timeout.
    virtual void join(std::function<void()> onDone) = 0;
    /// \brief Registers this process again after its registration was removed.
    virtual void rejoin() = 0;
    /// \brief Removes the registration of \a member unless it has changed.
    virtual void deregister(const std::string &member) = 0;
    /// \brief Starts following the registry; no effect if it already does.
    virtual void startWatching() = 0;
    /// \brief Stops following the registry.
    virtual void stopWatching() = 0;
    /// \brief True while it follows the registry and the registry answers.
    virtual bool isCurrent() const = 0;
    /// \brief True while it follows the registry and the registry does not answer.
    virtual bool isLost() const = 0;
    /// \brief Time as of which all updates of the registry are certainly applied; the epoch of the
    /// clock if that is unknown.
    virtual TimePoint provenAt() const = 0;
};

} // namespace gwt
