#pragma once

#include <functional>
#include <string>

namespace gwt {

/// \brief Follows the platform's registry and tells a FleetState what it says.
class RegistryFeed
{
public:
    virtual ~RegistryFeed() = default;

    /// \brief Makes this process known to the others and learns of them once; \a onDone runs in
    /// any case, at the latest after a call's time-out.
    virtual void join(std::function<void()> onDone) = 0;
    /// \brief Makes this process known again after its registration was removed.
    virtual void joinAgain() = 0;
    /// \brief Removes the registration of \a member unless it has changed.
    virtual void retire(const std::string &member) = 0;
    /// \brief Begins to follow the registry; does nothing if it does already.
    virtual void follow() = 0;
    /// \brief Stops to follow it.
    virtual void rest() = 0;
    /// \brief True while it follows the registry and the registry answers.
    virtual bool isCurrent() const = 0;
    /// \brief True while it follows the registry and the registry does not answer.
    virtual bool isLost() const = 0;
};

} // namespace gwt
