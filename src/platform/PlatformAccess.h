#pragma once

#include "http/HttpClient.h"
#include "platform/HostList.h"
#include "platform/ObjectStore.h"

#include <functional>
#include <memory>

namespace gwt {

/// \brief What a program uses of the platform that it runs on.
class PlatformAccess
{
public:
    virtual ~PlatformAccess() = default;

    virtual ObjectStore &store() = 0;
    virtual HostList &hostList() = 0;
};

/// \brief Makes the access to the platform at an endpoint; calls run on the executor, through the
/// client, and both outlive it.
using PlatformFactory = std::function<std::unique_ptr<PlatformAccess>(
    const Executor &, HttpClient &, const Endpoint &)>;

} // namespace gwt
