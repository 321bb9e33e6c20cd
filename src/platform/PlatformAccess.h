#pragma once

#include "http/HttpClient.h"
#include "platform/HostList.h"
#include "platform/ObjectStore.h"

#include <functional>
#include <memory>

namespace gwt {

/// \brief Gives a program access to the platform that it runs on.
class PlatformAccess
{
public:
    virtual ~PlatformAccess() = default;

    virtual ObjectStore &store() = 0;
    virtual HostList &hostList() = 0;
};

/// \brief Creates the access to the platform at an endpoint. Calls run on the executor and use the
/// client; both must outlive the result.
using PlatformFactory = std::function<std::unique_ptr<PlatformAccess>(
    const Executor &, HttpClient &, const Endpoint &)>;

} // namespace gwt
