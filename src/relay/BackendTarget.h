#pragma once

#include "common/Endpoint.h"

namespace gwt {

/// \brief Address of a backend server and the number of connections this relay may open to it.
struct BackendTarget
{
    Endpoint address;
    int maxConnections = 1;
};

} // namespace gwt
